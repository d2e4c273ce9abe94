package steer

import "time"

// The load pattern: targets share their machines with others, and some machines
// are several times slower for a moment. A target may state in its responses how
// long work takes on its machine now. The statement is worth something only as
// long as the machine stays as it is, which is measured: pace compares successive
// statements of a target by the time between them.
const (
	// paceWeight is the weight of the newest statement in the moving averages.
	paceWeight = 0.02
	// minPaceSamples is the number of pairs of statements from which on their
	// correlation counts.
	minPaceSamples = 20
	// maxPace limits a stated pace. One slow machine must not decide the average.
	maxPace = 20
)

// paceAges are the upper bounds of the ages for which the correlation of two
// statements is measured. Older ones count for nothing.
var paceAges = [...]time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond}

// pace is what is known of how the machines of a service's targets vary.
type pace struct {
	known          bool
	mean, variance float64
	bins           [len(paceAges)]paceBin
}

type paceBin struct {
	samples    int
	covariance float64
}

// statedPace is what a target stated last: 1 is its usual pace, 2 means that work
// takes twice as long.
type statedPace struct {
	value float64
	at    time.Time
}

func paceBinOf(age time.Duration) int {
	for i, bound := range paceAges {
		if age <= bound {
			return i
		}
	}
	return -1
}

// observe records a statement and compares it with the one before.
func (p *pace) observe(now time.Time, before statedPace, value float64) {
	if !p.known {
		p.known, p.mean = true, 1
	}
	if bin := paceBinOf(now.Sub(before.at)); bin >= 0 && !before.at.IsZero() {
		b := &p.bins[bin]
		b.samples++
		b.covariance += paceWeight * ((before.value-p.mean)*(value-p.mean) - b.covariance)
	}
	deviation := value - p.mean
	p.mean += paceWeight * deviation
	p.variance += paceWeight * (deviation*deviation - p.variance)
}

// correlation returns how much a statement of an age says of the present, from 0
// to 1.
func (p *pace) correlation(age time.Duration) float64 {
	bin := paceBinOf(age)
	if bin < 0 || p.variance <= 0 || p.bins[bin].samples < minPaceSamples {
		return 0
	}
	return min(max(p.bins[bin].covariance/p.variance, 0), 1)
}

// expected returns the pace to expect of a target: that of its statement as far
// as it still counts, and the mean otherwise.
func (p *pace) expected(now time.Time, stated statedPace) float64 {
	if !p.known {
		return 1
	}
	return p.mean + p.correlation(now.Sub(stated.at))*(stated.value-p.mean)
}

func (e *Engine) paceOf(service string) *pace {
	p := e.paces[service]
	if p == nil {
		p = &pace{}
		e.paces[service] = p
	}
	return p
}

// recordPace records the pace that a target stated with a response and returns
// it, or 1 if the target stated none.
func (e *Engine) recordPace(now time.Time, t *target, load *Load) float64 {
	if load == nil || load.Pace <= 0 {
		return 1
	}
	value := min(load.Pace, maxPace)
	p := e.paceOf(t.Service)
	isFirst := !p.known
	p.observe(now, t.pace, value)
	if isFirst {
		e.controllerOf(t.Service).Order(e.keepsOrder(t.Service))
	}
	t.pace = statedPace{value, now}
	return value
}
