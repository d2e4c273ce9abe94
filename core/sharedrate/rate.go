// Package sharedrate divides a rate, such as a limit in requests per second,
// among instances that cannot count together in time.
package sharedrate

import (
	"math"
	"time"
)

// demandWindow is the time constant of the average of a Rate.
const demandWindow = 2 * time.Second

// Rate is a moving average of events per second. The zero value has seen none.
type Rate struct {
	perSecond float64
	at        time.Time
}

// Current returns the events per second as of now.
func (r *Rate) Current(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/demandWindow.Seconds())
}

// Record counts an event.
func (r *Rate) Record(now time.Time) {
	r.perSecond, r.at = r.Current(now)+1/demandWindow.Seconds(), now
}

// Variance returns the variance of Current if events occur at random with a
// constant rate.
func Variance(perSecond float64) float64 { return perSecond / (2 * demandWindow.Seconds()) }

// Demand is an instance's demand for one of the rates that it shares.
type Demand struct {
	// Group identifies the rate.
	Group uint32
	// PerSecond is the number of events per second.
	PerSecond float64
}
