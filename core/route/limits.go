package route

import "time"

const (
	// latencyWeight is the weight of a new sample in a target's latency.
	latencyWeight = 0.1
	// latencyClamp bounds one sample to a multiple of the median: it takes three
	// hung requests to eject a target, not one.
	latencyClamp = 10
	// errorWeight lets a dead target reach the ejection bound after 14 failures,
	// while a target that fails 1 in 5 at random stays 6 deviations below it;
	// with 0.1 some of 10 such targets were ejected within 20,000 requests.
	errorWeight = 0.05
	// errorPenalty makes a target that always fails 9 times less attractive, so
	// that its short answers do not draw work.
	errorPenalty = 8
	// tieRange is the relative difference of scores below which two targets
	// count as equal; smaller ones are noise of the latency average.
	tieRange = 0.1
	// neutralLoad stands for a missing report; reports of less count the same.
	neutralLoad = 0.5
	// reportLifetime is 10 reports at the usual interval of 200 ms.
	reportLifetime = 2 * time.Second

	// ejectErrors is the least share of failures for an ejection.
	ejectErrors = 0.5
	// ejectErrorsAbove is how far the share must exceed that of the group, so
	// that failures common to all targets eject none.
	ejectErrorsAbove = 0.4
	// ejectLatencyRatio is the latency that ejects, as a multiple of the median.
	ejectLatencyRatio = 3
	// ejectLatencyAbove keeps jitter of very short answers from ejecting.
	ejectLatencyAbove = 5 * time.Millisecond
	// ejectColdRatio is the ratio for a cold target, whose caches are filling; with
	// the usual one returning targets were ejected again and again.
	ejectColdRatio = 6
	// ejectSamples is the least number of answers that judge a target.
	ejectSamples = 8
	// ejectBase is the first ejection; each further one doubles up to ejectMax.
	ejectBase = 2 * time.Second
	ejectMax  = time.Minute
	// ejectForget is the time without an ejection that halves the next one.
	ejectForget = time.Minute

	// slowStart is the time in which a cold target rises to its full rate.
	slowStart = 10 * time.Second
	// slowStartShare is the share of its full rate that a cold target starts at.
	slowStartShare = 0.1
	// slowStartLatency paces a cold target while no latency is known.
	slowStartLatency = 20 * time.Millisecond

	// downRefusals is how many refused connections in a row mean that no process
	// listens; a single one can be a full accept queue.
	downRefusals = 3
	// probeBase is the first wait before work tries such a target again; it
	// doubles up to probeMax, so that a restart is noticed within a second.
	probeBase = 100 * time.Millisecond
	probeMax  = time.Second

	// staleTime is the time without an exchange after which old failures fade
	// and eject no more; the target may have recovered unseen.
	staleTime = time.Second
	// staleKept is the part of old failures that is kept in each judgeInterval.
	staleKept = 0.9

	// latencyLifetime forgets the latency of a target without answers, which
	// would otherwise never get the work that could show an improvement.
	latencyLifetime = 5 * time.Second
	// judgeInterval is the time between two looks for outliers.
	judgeInterval = 100 * time.Millisecond
)
