package balance

import "time"

// Config is the balancing policy of a Picker.
type Config struct {
	// LoadTTL is how long a load report is used. Its weight falls linearly to 0 over
	// this time, because reports are delayed and a server that is not picked sends no
	// new one.
	LoadTTL time.Duration
	// SlowdownTTL is how long a reported slowdown of a host is used. Its weight falls
	// linearly to 0 over this time: the slowdown of hosts that share their processors
	// changes within some 100 ms.
	SlowdownTTL time.Duration
	// ByCompletionTime makes the picker compare servers by the expected completion time of
	// the request instead of by load times slowness. It takes effect for a service once
	// one of its servers has reported the slowdown of its host.
	ByCompletionTime bool
	// LatencyTTL is how long the measured latency of a server is used. Its weight falls
	// linearly to 0 over this time, so that a server that has recovered gets requests
	// again.
	LatencyTTL time.Duration
	// LatencyGain is the smoothing factor of a server's latency average: the weight of
	// one new value, 0 to 1.
	LatencyGain float64
	// LatencyCap is the binary logarithm of the largest factor by which a server's latency
	// can raise or lower its score.
	LatencyCap float64
	// SpillMargin is how much shorter the wait at a server in a farther tier must be for
	// it to be preferred to a nearer one, in addition to the request's own tolerance
	// (PickOptions.MaxNearWait).
	SpillMargin time.Duration
	// RegionMargin replaces SpillMargin for a server in another region, where the round
	// trip takes tens of milliseconds over links that all hosts share.
	RegionMargin time.Duration
	// ColdFloor is the smallest fraction of its full share that a cold server gets. It
	// must be above 0.
	ColdFloor float64
	// ConsecutiveFailures is the number of failures in a row after which a server is
	// ejected.
	ConsecutiveFailures int32
	// FailureRate is the moving failure rate, 0 to 1, from which a server with at least
	// MinSamples results is ejected.
	FailureRate float64
	// FailureGain is the smoothing factor of the failure rate: the weight of one new
	// result, 0 to 1.
	FailureGain float64
	// MinSamples is the number of results from which the failure rate is used.
	MinSamples int32
	// EjectBase is the duration of a server's first ejection. Each further ejection
	// lasts twice as long as the one before.
	EjectBase time.Duration
	// EjectMax bounds the duration of an ejection.
	EjectMax time.Duration
	// TrialTimeout is how long the picker waits for the result of the single trial
	// request after an ejection before it allows another one.
	TrialTimeout time.Duration
	// ZoneFailures is the number of consecutive requests, to at least two hosts of a zone,
	// that must fail to reach their host for the zone to count as unreachable. Four in a
	// row are hardly chance: the worst links lose one packet in forty.
	ZoneFailures int32
	// ZoneRetry is the time between two trial requests to an unreachable zone.
	ZoneRetry time.Duration
	// ProbeInterval is the time between two requests of a small fleet's node to a server that
	// has few slots, if it gets none otherwise.
	ProbeInterval time.Duration
	// FastMinTier is the number of servers in a tier from which the second draw prefers
	// recently fast servers: a single node sends too few requests to measure all servers
	// of a larger tier.
	FastMinTier int
	// DefaultSlots is the number of slots assumed for a server for which neither its
	// record nor a report gives any.
	DefaultSlots int
}

// DefaultConfig returns the default policy, which docs/design/balancing.md evaluates.
func DefaultConfig() Config {
	return Config{
		LoadTTL:             time.Second,
		SlowdownTTL:         300 * time.Millisecond,
		ByCompletionTime:    true,
		LatencyTTL:          10 * time.Second,
		LatencyGain:         0.1,
		LatencyCap:          4,
		SpillMargin:         10 * time.Millisecond,
		RegionMargin:        70 * time.Millisecond,
		ColdFloor:           0.1,
		ConsecutiveFailures: 3,
		FailureRate:         0.5,
		FailureGain:         0.1,
		MinSamples:          10,
		EjectBase:           2 * time.Second,
		EjectMax:            time.Minute,
		TrialTimeout:        5 * time.Second,
		ZoneFailures:        4,
		ZoneRetry:           300 * time.Millisecond,
		ProbeInterval:       2 * time.Second,
		FastMinTier:         fastMinTier,
		DefaultSlots:        10,
	}
}
