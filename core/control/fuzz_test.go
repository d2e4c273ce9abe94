package control

import (
	"encoding/binary"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pistachioford.example/core/document"
)

// messageTypes has one message of each type.
var messageTypes = []Message{
	&Ping{}, &Ack{}, &PingRequest{}, &Gossip{}, &Digest{}, &MembersFetch{}, &MembersAnswer{},
	&HeadFetch{}, &HeadAnswer{}, &Offer{}, &Acknowledgement{}, &SectionFetch{}, &SectionAnswer{},
	&LeaseProbe{}, &LeaseProbeAnswer{}, &LeaseConfirm{}, &LeaseConfirmAnswer{}, &LeaseHandover{},
	&LeaseHandoverAnswer{}, &BlockFetch{}, &BlockAnswer{},
}

// fuzzInput fills messages with the bytes of the fuzzer.
type fuzzInput struct{ data []byte }

func (r *fuzzInput) nextByte() byte {
	if len(r.data) == 0 {
		return 0
	}
	b := r.data[0]
	r.data = r.data[1:]
	return b
}

// nextNumber returns a number that is below 16 in most cases and may be huge in
// the others.
func (r *fuzzInput) nextNumber() uint64 {
	if b := r.nextByte(); b < 0xf0 {
		return uint64(b % 16)
	}
	var buf [8]byte
	r.data = r.data[copy(buf[:], r.data):]
	return binary.BigEndian.Uint64(buf[:])
}

func (r *fuzzInput) fillValue(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString([]string{"", "z0", "z1", "i1", "i2", "i7", "10.0.0.1:7000", "x"}[r.nextByte()%8])
	case reflect.Bool:
		v.SetBool(r.nextByte()&1 == 1)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(r.nextNumber() & (1<<v.Type().Bits() - 1))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(r.nextNumber()))
	case reflect.Pointer:
		if r.nextByte()&1 == 1 {
			v.Set(reflect.New(v.Type().Elem()))
			r.fillValue(v.Elem())
		}
	case reflect.Slice:
		n := int(r.nextByte() % 12)
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		for i := range n {
			r.fillValue(v.Index(i))
		}
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(time.Unix(int64(r.nextNumber()), 0)))
			return
		}
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				r.fillValue(v.Field(i))
			}
		}
	}
}

// Guards against a panic, and against memory or responses without a bound, on
// messages from a faulty peer.
func FuzzReceive(f *testing.F) {
	for i := range messageTypes {
		f.Add([]byte(fmt.Sprint(i, "some bytes to fill the fields of the message with")))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newSim(1, 2, 2)
		e := New(Config{ID: "i1", Zone: "z0", Address: "10.0.0.9:7000", Start: s.Now, Compile: s.compile})
		e.documents.active, _ = s.compile(1, []document.Section{})
		r := &fuzzInput{data: data}
		for now := s.Now; len(r.data) > 0; now = now.Add(TickInterval) {
			m := reflect.New(reflect.TypeOf(messageTypes[int(r.nextByte())%len(messageTypes)]).Elem())
			r.fillValue(m.Elem())
			received := MessageReceived{Message: m.Interface().(Message)}
			if actions := e.Handle(now, received); len(actions) > 500 {
				t.Fatalf("%d actions on one message", len(actions))
			}
			e.Tick(now)
		}
		if live := e.members.LiveCount(); live > 4097 {
			t.Fatalf("%d instances", live)
		}
	})
}
