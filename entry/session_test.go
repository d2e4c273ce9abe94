package entry

import (
	"bytes"
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/telemetry"
)

// lockedBuffer collects the log of several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

const sessionFile = "testdata/session.golden"

// Compares the log of one session with a golden file. Guards against changed
// lines, against secrets in them, and against requests that are not logged.
func TestSessionLog(t *testing.T) {
	is := is.New(t)
	address := startUpstream(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/orders/break" {
			_ = ctx.Conn().Close()
			return
		}
		ctx.SetBodyString("hello")
	})
	i := newInstance(t, "one", "a", "north", testDocument(t, false, address))
	telemetry.ConfigureLog(telemetry.LevelDebug)
	klog.LogToStderr(false)
	defer telemetry.ConfigureLog(telemetry.LevelInfo)
	log := &lockedBuffer{}
	klog.SetOutput(log)

	key := "a.0." + newKey(t)
	do(t, "GET", i.url("/reads/price?token=secret-query"), nil, "Authorization", "secret-header", "Cookie", "secret-cookie")
	do(t, "POST", i.url("/orders/new"), strings.NewReader("secret-body"), headerIdempotencyKey, key)
	do(t, "POST", i.url("/orders/new"), strings.NewReader("secret-body"), headerIdempotencyKey, key)
	do(t, "POST", i.url("/orders/new"), strings.NewReader("other"), headerIdempotencyKey, key)
	do(t, "POST", i.url("/orders/break"), strings.NewReader("x"))
	klog.Flush()

	got := regexp.MustCompile(`time=\S+`).ReplaceAllString(log.text.String(), "time=T")
	is.True(!strings.Contains(got, "secret") && !strings.Contains(got, key))
	if os.Getenv("UPDATE_GOLDEN") != "" {
		is.NoErr(os.WriteFile(sessionFile, []byte(got), 0o600))
	}
	want, err := os.ReadFile(sessionFile)
	is.NoErr(err)
	is.Equal(got, string(want))
}

// Guards against a refusal reason that is missing from the counters that
// operators read.
func TestCountersAreVisible(t *testing.T) {
	is := is.New(t)
	i := newInstance(t, "one", "a", "north", testDocument(t, false, "127.0.0.1:1"))
	server := NewServer(loopback(t), OperatorHandler(NewOperators(Self{ID: "one"}, i.steer, &i.view)), 16<<10)
	go func() { _ = server.Serve() }()
	read := func() map[string]map[string]int {
		response, body := do(t, "GET", "http://"+server.Address()+VarsPath, nil)
		is.Equal(response.StatusCode, 200)
		var all map[string]json.RawMessage
		is.NoErr(json.Unmarshal([]byte(body), &all))
		families := map[string]map[string]int{}
		for _, name := range []string{telemetry.RefusalsName, telemetry.RetriesName, telemetry.EjectionsName} {
			var family map[string]int
			is.NoErr(json.Unmarshal(all[name], &family))
			families[name] = family
		}
		return families
	}
	before := read()
	for _, reason := range telemetry.Reasons() {
		_, visible := before[telemetry.RefusalsName][reason.String()]
		is.True(visible)
		for kind := traffic.CountRefusal; kind <= traffic.CountEjection; kind++ {
			telemetry.Count(traffic.IncrementCounter{Kind: kind, Reason: reason})
		}
	}
	do(t, "GET", i.url("/other"), nil) // counted by the proxy
	after := read()
	for _, reason := range telemetry.Reasons() {
		want := 1
		if reason == traffic.ReasonNoService {
			want = 2
		}
		is.Equal(after[telemetry.RefusalsName][reason.String()]-before[telemetry.RefusalsName][reason.String()], want)
		is.Equal(after[telemetry.RetriesName][reason.String()]-before[telemetry.RetriesName][reason.String()], 1)
		is.Equal(after[telemetry.EjectionsName][reason.String()]-before[telemetry.EjectionsName][reason.String()], 1)
	}
	response, body := do(t, "GET", "http://"+server.Address()+StatusPath, nil)
	is.Equal(response.StatusCode, 200)
	is.True(strings.Contains(body, `"revision":1`))
}
