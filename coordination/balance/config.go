package balance

import "time"

// Config sets a Picker's policy.
type Config struct {
	// LoadTTL is how long a reported load counts. Its weight falls linearly to
	// 0 over this time, because reports lag and a server that is not picked
	// sends no new one.
	LoadTTL time.Duration
	// SlowdownTTL is how long a reported slowdown of a host counts. Its weight falls
	// linearly to 0: hosts that share their processors change within some 100 ms.
	SlowdownTTL time.Duration
	// Completion rates servers by when the request would be answered in place of load
	// times slowness, where servers report how slow their hosts are.
	Completion bool
	// LatencyTTL is how long the measured latency of a server counts. Its
	// weight falls linearly to 0, so that a server that got well is tried
	// again.
	LatencyTTL time.Duration
	// LatencyGain is the weight of one new latency in the moving average, 0
	// to 1.
	LatencyGain float64
	// LatencyCap bounds how many times worse a slow server is rated, as a
	// power of two.
	LatencyCap float64
	// SpillMargin is how much sooner a server further away must answer than a
	// nearer one to be taken, beyond what the request bears.
	SpillMargin time.Duration
	// RegionMargin replaces SpillMargin for a server in another region, where the round
	// trip takes tens of milliseconds over links that all hosts share.
	RegionMargin time.Duration
	// ColdFloor is the smallest part of its share that a cold server gets,
	// above 0.
	ColdFloor float64
	// Failures is the number of failures in a row after which a server is
	// ejected.
	Failures int32
	// FailureRate is the moving failure rate, 0 to 1, from which a server
	// with at least MinSamples results is ejected.
	FailureRate float64
	// FailureGain is the weight of one new result in the failure rate.
	FailureGain float64
	// MinSamples is the number of results before rates count.
	MinSamples int32
	// EjectBase is the time of the first ejection; each further one doubles
	// it.
	EjectBase time.Duration
	// EjectMax bounds the time of an ejection.
	EjectMax time.Duration
	// TrialTimeout is how long the one trial after an ejection may take before
	// another one is let through.
	TrialTimeout time.Duration
	// ZoneMisses is the number of sends in a row, to two hosts of a zone at
	// least, that reach nobody until the zone counts as cut off. Four are no
	// accident: one in forty packets is lost on the worst links.
	ZoneMisses int32
	// ZoneRetry is the time between two trials of a zone that is cut off.
	ZoneRetry time.Duration
	// FastMinTier is the number of servers of a tier from which second draws prefer
	// recently fast servers: one node's requests are too few to measure all of them.
	FastMinTier int
	// DefaultSlots stands in where neither record nor report gives slots.
	DefaultSlots int
}

// DefaultConfig returns the policy that docs/design/balancing.md measures.
func DefaultConfig() Config {
	return Config{
		LoadTTL:      time.Second,
		SlowdownTTL:  300 * time.Millisecond,
		Completion:   true,
		LatencyTTL:   10 * time.Second,
		LatencyGain:  0.1,
		LatencyCap:   4,
		SpillMargin:  10 * time.Millisecond,
		RegionMargin: 70 * time.Millisecond,
		ColdFloor:    0.1,
		Failures:     3,
		FailureRate:  0.5,
		FailureGain:  0.1,
		MinSamples:   10,
		EjectBase:    2 * time.Second,
		EjectMax:     time.Minute,
		TrialTimeout: 5 * time.Second,
		ZoneMisses:   4,
		ZoneRetry:    300 * time.Millisecond,
		FastMinTier:  fastMinTier,
		DefaultSlots: 10,
	}
}
