package route

import "time"

const (
	// latencyWeight is the weight of a new sample in the moving average of a
	// target's latency.
	latencyWeight = 0.1
	// maxLatencySampleRatio bounds one latency sample to a multiple of the
	// median, so that it takes three hung requests to eject a target, not one.
	maxLatencySampleRatio = 10
	// failureRateWeight is the weight of one exchange in the moving averages
	// of failures and sheds. A target that always fails reaches the ejection
	// bound after 14 failures, while one that fails 1 in 5 at random stays 6
	// standard deviations below it. With a weight of 0.1, some of 10 such
	// targets were ejected within 20,000 requests.
	failureRateWeight = 0.05
	// failurePenalty multiplies the score of a target that always fails by 9,
	// so that its quick failures attract no traffic.
	failurePenalty = 8
	// tieTolerance is the relative difference below which two scores are
	// treated as equal. Smaller differences are noise of the latency average.
	tieTolerance = 0.1
	// neutralLoad is the assumed load of a target without a current report, as
	// a fraction of busy slots. Lower reports are treated as neutralLoad.
	neutralLoad = 0.5
	// reportLifetime is how long a load report is valid: 10 times the usual
	// interval of 200 ms.
	reportLifetime = 2 * time.Second

	// ejectFailureRate is the lowest failure rate that leads to an ejection.
	ejectFailureRate = 0.5
	// ejectFailureRateMargin is how far the failure rate must exceed the mean
	// of the other targets, so that failures common to all targets eject none.
	ejectFailureRateMargin = 0.4
	// ejectLatencyRatio is the multiple of the median latency above which a
	// target is ejected.
	ejectLatencyRatio = 3
	// ejectLatencyMargin is how far the latency must exceed the median, so
	// that jitter of very short responses ejects no target.
	ejectLatencyMargin = 5 * time.Millisecond
	// ejectColdLatencyRatio replaces ejectLatencyRatio for a cold target,
	// whose caches are filling. With the usual ratio, returning targets were
	// ejected again and again.
	ejectColdLatencyRatio = 6
	// minEjectSamples is the number of successes and failures below which a
	// target is not ejected.
	minEjectSamples = 8
	// ejectBaseTime is the length of the first ejection. Each further one
	// lasts twice as long, up to maxEjectTime.
	ejectBaseTime = 2 * time.Second
	maxEjectTime  = time.Minute
	// ejectBackoffDecay is the time without an ejection that halves the length
	// of the next one.
	ejectBackoffDecay = time.Minute

	// slowStart is the time in which a cold target rises to its full rate.
	slowStart = 10 * time.Second
	// slowStartFraction is the fraction of its full rate at which a cold
	// target starts.
	slowStartFraction = 0.1
	// slowStartLatency replaces the median latency in the start interval of a
	// cold target while the median is unknown.
	slowStartLatency = 20 * time.Millisecond

	// refusalsUntilDown is the number of refused connections in a row that
	// take a target out of service, since no process listens. A single one can
	// be due to a full accept queue.
	refusalsUntilDown = 3
	// minProbeDelay is the delay before the first probe of such a target. The
	// delay doubles with each refused probe up to maxProbeDelay, so that a
	// restart is noticed within a second.
	minProbeDelay = 100 * time.Millisecond
	maxProbeDelay = time.Second

	// failureDecayDelay is the time without an exchange after which the
	// failure rates decay and the target is not ejected; it may have recovered
	// unseen.
	failureDecayDelay = time.Second
	// failureDecayFactor is what remains of the failure rates after each
	// outlierCheckInterval.
	failureDecayFactor = 0.9

	// latencyLifetime is the time without a sample after which the latency of
	// a target is dropped. Otherwise a slow target might never get the traffic
	// that could show an improvement.
	latencyLifetime = 5 * time.Second
	// outlierCheckInterval is the least time between two checks for outliers.
	outlierCheckInterval = 100 * time.Millisecond
)
