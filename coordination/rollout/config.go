package rollout

import "time"

// Config holds the parameters of roll-outs.
type Config struct {
	// ExposeShare is the largest fraction of a service's requests, 0 to 1, that a version may
	// receive if it turns out bad. Operators set it.
	ExposeShare float64
}

const (
	// DefaultExposeShare applies if the operators set no ExposeShare. It is the limit that
	// the first operators to order roll-outs state.
	DefaultExposeShare = 0.1
	// canaryShare is the fraction of ExposeShare that is used before the verdict. The rest is
	// reserved for requests sent while all requests are being shifted, to a version that
	// turns bad only then: at half of the share and 2,000 requests a second, it lasts about
	// two seconds.
	canaryShare = 0.5
	// minCanaries is the minimum number of backend servers that receive the canary's
	// requests, if the new version has as many. With three, a single faulty backend server
	// can be distinguished from a bad version.
	minCanaries = 3
	// maxReporters is the maximum number of nodes of each version whose counts are shared.
	// Eight of them serve about a hundred answers a second if backend servers have 10 slots.
	maxReporters = 8
)

const (
	// reportInterval is the time between two reports of a node. A verdict is due 5 s after
	// the fiftieth bad answer; the wait for the next report, its way over several links and
	// the next comparison take about a second.
	reportInterval = 400 * time.Millisecond
	// reportFlushInterval is the minimum time between two forwardings of reports at one node,
	// so that the reports of several nodes travel in one message.
	reportFlushInterval = 150 * time.Millisecond
	// judgeInterval is the time between two comparisons of the versions.
	judgeInterval = 200 * time.Millisecond
	// recentWindow is the period of a second comparison, made besides the one over all
	// answers: a version may turn bad after a while.
	recentWindow = 2500 * time.Millisecond
)

// Points in time of a roll-out, as fractions of its order's Duration.
const (
	// canaryEnd is the earliest end of the canary phase. The time after it is for the shift
	// and for a store that is unavailable for a while.
	canaryEnd = 0.6
	// latestShift is the time until which a shift may be put off for lack of answers or of
	// backend servers.
	latestShift = 0.8
	// repeatableOnlyEnd is the latest time until which the canary receives repeatable
	// requests only.
	repeatableOnlyEnd = 0.25
)

const (
	// settleTime is how long all requests go to the new version before the old backend
	// servers may be stopped without a drain. The requests running there have ended by then,
	// as nearly all requests take less than two seconds.
	settleTime = 2500 * time.Millisecond
	// settleDivisor limits the settle time to the order's Duration divided by it.
	settleDivisor = 6
	// oldExclusionTime is how long after a success the backend servers of other versions
	// receive no requests, as the old ones are being stopped. Those present afterwards have
	// been started since.
	oldExclusionTime = 10 * time.Second
	// rankDelay is the additional delay of each further node, in order of rank, before it
	// writes to the store what the first one should have written. A write takes about 10 ms,
	// and 0.5 s if the store is slow.
	rankDelay = 700 * time.Millisecond
	// maxRank is the largest rank of a node. All further nodes wait as long as the one with
	// this rank.
	maxRank = 8
	// retryDelay is the delay before a node repeats a failed write.
	retryDelay = time.Second
)

// Numbers of answers and slots required for a verdict.
const (
	// minRepeatableAnswers is the number of answers to repeatable requests after which the
	// canary receives non-repeatable requests as well.
	minRepeatableAnswers = 20
	// minShiftAnswers is the number of the new version's answers, over all workloads, that is
	// required before all requests are shifted; minWorkAnswers is the number for each
	// workload.
	minShiftAnswers = 30
	minWorkAnswers  = 10
	// inUseAnswers is the number of the old version's answers from which a workload or a
	// service counts as in use, so that the new version must have answered it as well.
	inUseAnswers = 100
	// minSlotRatio is the minimum ratio of the new version's slots to the old version's
	// before all requests are shifted.
	minSlotRatio = 0.5
)
