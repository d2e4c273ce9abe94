package control

import (
	"flag"
	"math/bits"
	"reflect"
	"runtime"
	"syscall"
	"testing"
	"time"
)

var fullSizes = flag.Bool("slopes", false, "measure up to 240 instances")

// Bounds for one instance in a fleet of 480, from the requirements.
const (
	targetFleet      = 480               // instances
	maxTraffic       = 14_000.0          // bytes per second, sent and received
	maxCPU           = 0.021             // fraction of a core
	maxMemory        = 64 << 20          // bytes
	blockTableMemory = float64(32 << 20) // bytes of the client blocks, bounded by BenchmarkBlockLookup
	frameOverhead    = 120               // bytes per message for gRPC, HTTP/2, TLS, TCP and IP

	// changeInterval is the time between two changes of the document, 470 per
	// day. An instance is replaced or fails only in every fourth interval; the
	// test replaces one in every interval.
	changeInterval = 24 * time.Hour / 470
)

// wireSize estimates the size of a message in protobuf, with frameOverhead.
func wireSize(m Message) int {
	return frameOverhead + valueSize(reflect.ValueOf(m).Elem())
}

func valueSize(v reflect.Value) int {
	switch v.Kind() {
	case reflect.String:
		if v.Len() == 0 {
			return 0
		}
		return v.Len() + 2
	case reflect.Pointer:
		if v.IsNil() {
			return 0
		}
		return valueSize(v.Elem())
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return v.Len() + 4
		}
		size := 0
		for i := range v.Len() {
			size += valueSize(v.Index(i)) + 3
		}
		return size
	case reflect.Struct:
		size := 2
		for i := range v.NumField() {
			size += valueSize(v.Field(i))
		}
		return size
	case reflect.Bool:
		return 2
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return 2 + bits.Len64(v.Uint())/7
	}
	return 10
}

type sample struct{ instances, traffic, cpu, memory float64 }

func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measure runs a fleet for one changeInterval with a change of the document and
// the replacement of an instance. The CPU time includes the simulation.
func measure(t *testing.T, instances, zones int) sample {
	span := changeInterval
	before := heapBytes()
	s := newSim(11, zones, instances/zones)
	s.loss = 0.01
	s.store.edit("a", string(make([]byte, 20_000)))
	for i := range instances {
		s.boot(i % zones)
	}
	s.run(40 * time.Second) // Leaves the start of all instances at once out of the measurement.
	if !s.allActive(1) {
		t.Errorf("%d instances: the document is not active", instances)
	}
	s.messageSize = wireSize
	s.bytes = 0
	cpu := processCPU()
	s.After(span/4, func() { s.store.edit("a", string(make([]byte, 20_001))) })
	s.After(span/2, func() {
		n := s.live()[0]
		n.kill()
		s.bootInZoneOf(n)
	})
	s.run(span)
	cpu = processCPU() - cpu
	instanceSeconds := float64(instances) * span.Seconds()
	result := sample{
		instances: float64(instances),
		traffic:   2 * float64(s.bytes) / instanceSeconds,
		cpu:       cpu.Seconds() / instanceSeconds,
		memory:    (heapBytes() - before) / float64(instances),
	}
	s.checkNoViolations(t)
	runtime.KeepAlive(s)
	return result
}

// extrapolate fits a straight line to the samples by least squares and returns
// its value at targetFleet.
func extrapolate(samples []sample, y func(sample) float64) float64 {
	n, sx, sy, sxx, sxy := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, s := range samples {
		n++
		sx += s.instances
		sy += y(s)
		sxx += s.instances * s.instances
		sxy += s.instances * y(s)
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy-slope*sx)/n + slope*targetFleet
}

// Guards against costs of an instance that exceed the bounds in a fleet of
// targetFleet. The full sizes run with -args -slopes.
func TestSlopes(t *testing.T) {
	sizes := []int{12, 24, 48}
	if *fullSizes {
		sizes = []int{12, 48, 120, 240}
	}
	var samples []sample
	for _, size := range sizes {
		m := measure(t, size, 6)
		samples = append(samples, m)
		t.Logf("%3.0f instances: %6.0f B/s, %.3f%% of a core, %.2f MB", m.instances, m.traffic, m.cpu*100, m.memory/1e6)
	}
	traffic := extrapolate(samples, func(s sample) float64 { return s.traffic })
	cpu := extrapolate(samples, func(s sample) float64 { return s.cpu })
	memory := extrapolate(samples, func(s sample) float64 { return s.memory }) + blockTableMemory
	t.Logf("%3d fitted:    %6.0f B/s, %.3f%% of a core, %.2f MB with client blocks", targetFleet, traffic, cpu*100, memory/1e6)
	if traffic >= maxTraffic {
		t.Errorf("traffic %.0f B/s is over the bound", traffic)
	}
	if cpu >= maxCPU && !raceDetector {
		t.Errorf("CPU %.3f%% of a core is over the bound", cpu*100)
	}
	if memory >= maxMemory {
		t.Errorf("memory %.0f bytes is over the bound", memory)
	}
}

// Guards against a fleet at rest whose instances exceed their budgets of platform
// calls.
func TestPlatformBudget(t *testing.T) {
	t.Parallel()
	s := newSim(12, 6, 2)
	startFleet(t, s, 2)
	s.run(time.Minute)
	s.store.reads, s.store.writes = 0, 0
	s.run(5 * time.Minute)
	reads := float64(s.store.reads) / 12 / 300
	writes := float64(s.store.writes) / 12 / 300
	t.Logf("%.2f reads/s and %.2f writes/s per instance", reads, writes)
	if reads > readsPerSecond || writes > writesPerSecond {
		t.Error("platform calls are over the budget")
	}
}
