package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

const request = uint64(42)

func at(d time.Duration) time.Time { return start.Add(d) }

// broken returns the report, at its end, of an exchange with a target.
func broken(target uint64, sent, end time.Duration) Report {
	return Report{Fingerprint: request, Target: target, SentAgo: end - sent}
}

// crash records exchanges that break one after the other.
func crash(d *Detector, from time.Duration, targets int) time.Duration {
	for i := range targets {
		sent := from + time.Duration(i)*time.Second
		d.RecordBreak(at(sent+300*time.Millisecond), broken(uint64(1000*from)+uint64(i), sent, sent+300*time.Millisecond))
	}
	return from + time.Duration(targets)*time.Second
}

// TestCopiesInFlightAtAPowerLossDoNotBlock guards against a popular read that is
// refused since a zone lost power while several of its targets ran it.
func TestCopiesInFlightAtAPowerLossDoNotBlock(t *testing.T) {
	is := is.New(t)
	d := New("i")
	for i := range uint64(6) {
		d.RecordBreak(at(2*time.Second), broken(i, time.Second+time.Duration(i)*100*time.Millisecond, 2*time.Second))
	}
	is.True(d.Admit(at(2*time.Second), request))
	d.RecordBreak(at(3*time.Second), broken(9, 2500*time.Millisecond, 3*time.Second))
	is.True(!d.Admit(at(3*time.Second), request))
}

// TestServedRequestIsNotSuspectedForOneOutage guards against the same for a
// popular read whose retries break as well, at instances that served it before.
func TestServedRequestIsNotSuspectedForOneOutage(t *testing.T) {
	is := is.New(t)
	d := New("i")
	d.RecordSuccess(at(0), request)
	for i := range uint64(5) {
		d.RecordBreak(at(2*time.Second), broken(i, time.Second, 2*time.Second))
	}
	crash(d, 3*time.Second, 2)
	is.True(d.Admit(at(6*time.Second), request))
	// It may have become harmful since.
	crash(d, 7*time.Second, 1)
	is.True(!d.Admit(at(8*time.Second), request))
}

// TestBlockOfAServedRequestIsCleared guards against instances that refuse a read
// which others serve.
func TestBlockOfAServedRequestIsCleared(t *testing.T) {
	is := is.New(t)
	blocking, serving := New("a"), New("b")
	blocking.SetInstances([]string{"b"})
	serving.SetInstances([]string{"a"})
	crash(blocking, 0, 3)
	is.True(blocking.Blocked(request))
	serving.RecordSuccess(at(4*time.Second), request)
	serving.RecordVerdicts(at(5*time.Second), blocking.NextMessages(at(5*time.Second)).New)
	is.True(!serving.Blocked(request))
	blocking.RecordVerdicts(at(6*time.Second), serving.NextMessages(at(6*time.Second)).New)
	is.True(blocking.Admit(at(6*time.Second), request))
	// The older verdict is not adopted again from an instance that missed the
	// newer one.
	stale := New("c")
	crash(stale, 0, 3)
	blocking.RecordVerdicts(at(7*time.Second), stale.Verdicts(at(7*time.Second)))
	is.True(blocking.Admit(at(7*time.Second), request))
}

// TestSuccessEndsASuspicionAtTheKeepers guards against evidence that adds up
// over responses that are lost now and then.
func TestSuccessEndsASuspicionAtTheKeepers(t *testing.T) {
	is := is.New(t)
	observer, keeper := New("a"), New("b")
	observer.SetInstances([]string{"b"})
	for i := range 5 {
		from := time.Duration(i) * 4 * time.Second
		crash(observer, from, 1)
		observer.RecordSuccess(at(from+2*time.Second), request)
		observer.served = servedRequests{}
		messages := observer.NextMessages(at(from + 3*time.Second))
		keeper.RecordReports(at(from+3*time.Second), []Report{broken(uint64(i), from, from+300*time.Millisecond)})
		keeper.RecordVerdicts(at(from+3*time.Second), messages.Cleared["b"])
	}
	is.True(!keeper.Blocked(request))
	is.True(!observer.Blocked(request))
}

// TestOnlyTheFirstKeeperProbes guards against a block that lasts though the
// request is harmless, and against a fleet whose instances all try it again.
func TestOnlyTheFirstKeeperProbes(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprintf("i%d", i))
	}
	probes := map[string][]time.Duration{}
	for _, name := range names {
		d := New(name)
		d.SetInstances(slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name }))
		crash(d, 0, 3)
		for now := 4 * time.Second; now < 50*time.Minute; now += 5 * time.Second {
			if d.Admit(at(now), request) {
				probes[name] = append(probes[name], now)
				d.RecordBreak(at(now+time.Second), broken(uint64(now), now, now+time.Second))
			}
		}
	}
	is.Equal(len(probes), 1)
	for _, times := range probes {
		is.Equal(len(times), maxProbes)
		is.True(times[0] >= ProbeDelay)
		is.True(times[1]-times[0] >= probeBackoff*ProbeDelay)
	}
}

// TestServedProbeEndsTheBlock guards against the same.
func TestServedProbeEndsTheBlock(t *testing.T) {
	is := is.New(t)
	d := New("i")
	end := crash(d, 0, 3)
	is.True(!d.Admit(at(end), request))
	is.True(d.Admit(at(end+ProbeDelay), request))
	is.True(!d.Admit(at(end+ProbeDelay+time.Second), request))
	d.RecordSuccess(at(end+ProbeDelay+time.Second), request)
	is.True(d.Admit(at(end+ProbeDelay+time.Second), request))
}

// TestBlockLastsWhileCopiesCome guards against a request that is forgotten though
// it keeps coming, and against a block that never ends.
func TestBlockLastsWhileCopiesCome(t *testing.T) {
	is := is.New(t)
	d, other := New("a"), New("b")
	d.SetInstances([]string{"b"})
	other.SetInstances([]string{"a"})
	now := crash(d, 0, 3)
	other.RecordVerdicts(at(now), d.Verdicts(at(now)))
	for range 10 {
		now += blockTTL / 2
		d.Expire(at(now))
		other.Expire(at(now))
		d.verdicts[request].probedAt = at(now)
		is.True(!d.Admit(at(now), request))
		other.RecordVerdicts(at(now), d.NextMessages(at(now)).Repeated)
	}
	is.True(other.Blocked(request))
	for range 3 {
		now += blockTTL / 2
		// Repeating a verdict to each other does not prolong it.
		other.RecordVerdicts(at(now+time.Second), d.NextMessages(at(now)).Repeated)
		d.RecordVerdicts(at(now+2*time.Second), other.NextMessages(at(now+time.Second)).Repeated)
		d.Expire(at(now + 3*time.Second))
		other.Expire(at(now + 3*time.Second))
	}
	is.True(!d.Blocked(request))
	is.True(!other.Blocked(request))
}

// TestEvidenceSurvivesABurstOfBreaks guards against a suspect that is displaced
// by thousands of other requests whose exchanges broke.
func TestEvidenceSurvivesABurstOfBreaks(t *testing.T) {
	is := is.New(t)
	d := New("i")
	now := crash(d, 0, 2)
	for i := range uint64(3 * maxSuspects) {
		d.RecordBreak(at(now), Report{Fingerprint: 100 + i, Target: 1})
	}
	is.True(len(d.suspects) <= maxSuspects)
	crash(d, now+time.Second, 1)
	is.True(!d.Admit(at(now+3*time.Second), request))
}

// TestTargetThatStartsAgainCountsAgain guards against a request that always
// crashes the same target, such as the home of its object.
func TestTargetThatStartsAgainCountsAgain(t *testing.T) {
	is := is.New(t)
	d := New("i")
	for boot := range uint64(3) {
		is.True(d.Admit(at(0), request))
		now := time.Duration(boot) * time.Second
		d.RecordBreak(at(now), broken(mix(7, boot), now, now))
	}
	is.True(!d.Admit(at(3*time.Second), request))
}

// TestVerdictsAreSavedAgain guards against a block that is lost with what a
// store forgot.
func TestVerdictsAreSavedAgain(t *testing.T) {
	is := is.New(t)
	d := New("i")
	crash(d, 0, 3)
	saved := d.Unsaved(at(3*time.Second), 10)
	is.Equal(len(saved), 1)
	d.Saved(at(3*time.Second), saved[0])
	is.Equal(len(d.Unsaved(at(3*time.Second), 10)), 0)
	d.SaveAgain()
	is.Equal(len(d.Unsaved(at(3*time.Second), 10)), 1)
}

// TestLostResponsesBlockNoRequest guards against popular reads that are refused
// while targets lose one response in fifty.
func TestLostResponsesBlockNoRequest(t *testing.T) {
	is := is.New(t)
	const instances, perSecond = 74, 400
	random := rand.New(rand.NewPCG(1, 2))
	var names []string
	detectors := map[string]*Detector{}
	for i := range instances {
		names = append(names, fmt.Sprintf("i%d", i))
		detectors[names[i]] = New(names[i])
	}
	for _, name := range names {
		detectors[name].SetInstances(slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name }))
	}
	popular := rand.NewZipf(random, 1.1, 4, 20000)
	refused := 0
	for now := time.Duration(0); now < 2*time.Minute; now += time.Second / perSecond {
		d := detectors[names[random.IntN(instances)]]
		fingerprint := popular.Uint64()
		switch {
		case !d.Admit(at(now), fingerprint):
			refused++
		case random.IntN(50) == 0:
			d.RecordBreak(at(now), Report{Fingerprint: fingerprint, Target: random.Uint64N(118), SentAgo: 300 * time.Millisecond})
		default:
			d.RecordSuccess(at(now), fingerprint)
		}
		if now%(700*time.Millisecond) != 0 {
			continue
		}
		for _, name := range names {
			m := detectors[name].NextMessages(at(now))
			for _, other := range names {
				if other == name {
					continue
				}
				detectors[other].RecordReports(at(now), m.Reports[other])
				detectors[other].RecordVerdicts(at(now), m.Cleared[other])
				detectors[other].RecordVerdicts(at(now), m.New)
			}
		}
	}
	t.Logf("%d of %d requests refused", refused, 120*perSecond)
	is.Equal(refused, 0)
}

// TestATargetIsEvidenceOnce guards against a suspicion that grows, or does not
// begin, with several exchanges that one target breaks when it dies.
func TestATargetIsEvidenceOnce(t *testing.T) {
	is := is.New(t)
	d := New("i")
	for range 4 {
		d.RecordBreak(at(time.Second), broken(7, 0, time.Second))
		is.Equal(len(d.suspects[request].evidence), 1)
	}
	is.True(d.Admit(at(time.Second), request))
}
