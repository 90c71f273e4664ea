package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Config holds the settings of a Core. All durations must be more than 0 unless
// they say otherwise.
type Config struct {
	// PollInterval is the time between two reads of the platform's head by the
	// zone's reader. It must not exceed BeaconInterval: a beacon with
	// PlatformOK promises a recent read.
	PollInterval time.Duration
	// MaxPollInterval bounds the backoff between reads that fail.
	MaxPollInterval time.Duration
	// ReadTimeout is when a read of the head that has no answer counts as
	// failed.
	ReadTimeout time.Duration
	// LoadTimeout is when a load of a version from the platform that has no
	// answer counts as failed.
	LoadTimeout time.Duration
	// LoadRetry is the first wait after a load that failed; it doubles up to
	// LoadTimeout.
	LoadRetry time.Duration

	// BeaconInterval is the time between two beacons while nothing changes.
	BeaconInterval time.Duration
	// HeadDelay is how long after a new head the reader waits for its body, once
	// it may fetch it by MergeInterval, before it sends a beacon for the head
	// alone. A reader that holds the head adverts it instead. It is also the
	// shortest time between two beacons.
	HeadDelay time.Duration
	// MaxHops bounds the number of nodes that relay one beacon.
	MaxHops uint8
	// AdvertRefresh is the time between two adverts to one neighbour in turn.
	// They repair adverts that were lost.
	AdvertRefresh time.Duration

	// MergeInterval is the shortest time between two fetches, so that a burst
	// of versions is fetched as one. A first change is fetched at once. It may
	// be 0.
	MergeInterval time.Duration
	// FetchTimeout is when a fetch without progress moves to another source.
	FetchTimeout time.Duration
	// FullTimeout is the same for a node that holds nothing, whose source may
	// let it wait for its turn.
	FullTimeout time.Duration
	// ProbeInterval is how long a node that knows of a newer head waits for an
	// advert before it asks a neighbour, and the time between such questions.
	ProbeInterval time.Duration
	// RefuseFor is how long a version that was refused is not fetched again
	// from the same source.
	RefuseFor time.Duration

	// KeepDeltas is the number of held versions from which a delta is served.
	KeepDeltas int
	// KeepRecent is the number of earlier snapshots kept as a base for deltas.
	KeepRecent int
	// RecentFor is how long an earlier snapshot is kept.
	RecentFor time.Duration
	// MaxDeltaBytes is the largest encoded delta served; a larger one is
	// replaced by the whole version in parts.
	MaxDeltaBytes int
	// PartBytes is the size of a part of a whole version. Small parts let
	// urgent messages pass between them.
	PartBytes int
	// MaxFull bounds the whole versions served at one time.
	MaxFull int
	// PartsPerStep is the number of parts of one transfer sent each PartPause.
	PartsPerStep int
	// PartPause is the time between two batches of parts of one transfer.
	PartPause time.Duration

	// AckDelay is how long acknowledgements are collected before they are
	// passed on together.
	AckDelay time.Duration
	// AckRetry is the first wait before an acknowledgement that the zone's
	// status lacks is sent again; it doubles up to MaxAckRetry.
	AckRetry time.Duration
	// MaxAckRetry bounds the wait between repeated acknowledgements.
	MaxAckRetry time.Duration
	// StatusDelay is how long after a change an incomplete zone status is held
	// back; a complete one is sent at once.
	StatusDelay time.Duration
	// StatusInterval is the shortest time between two incomplete statuses.
	StatusInterval time.Duration
	// StatusBeacons is the number of beacons after which the status is
	// repeated though nothing changed.
	StatusBeacons int
	// BorderDelay is the least wait before the status of another zone is passed
	// on to a third one, which mostly gets it from that zone itself. Up to as
	// much again is added by chance, so that one of several nodes is first.
	BorderDelay time.Duration

	// JoinQuorum is the number of ready peers whose welcome makes a fresh node
	// ready without a read of the platform.
	JoinQuorum int
	// JoinSettle is how long a fresh node waits after its first peer, so that
	// all neighbours that may remember it can answer.
	JoinSettle time.Duration
	// JoinTimeout bounds the wait for JoinQuorum: afterwards the newest version
	// of any ready peer is enough. It is also when a node that can't become
	// ready from its peers reads the head itself.
	JoinTimeout time.Duration
	// JoinReadDelay is how long a fresh node without a ready peer waits before
	// it reads the head itself.
	JoinReadDelay time.Duration
	// JoinReadSpacing is the mean time between such reads of all members of a
	// zone together, so that reads don't grow with the zone.
	JoinReadSpacing time.Duration
	// MaxJoinRead bounds the backoff between such reads of one node.
	MaxJoinRead time.Duration

	// RememberFor is how long the version that another node held is remembered
	// after it was last heard.
	RememberFor time.Duration
	// MaxRemembered bounds the nodes remembered.
	MaxRemembered int

	// Check refuses a whole version for a reason that Consistent doesn't know,
	// such as the schema. Nil accepts all. It must be a pure function.
	Check func(*snapshot.Snapshot) error
}

// DefaultConfig returns the settings for the design size.
func DefaultConfig() Config {
	return Config{
		PollInterval:    500 * time.Millisecond,
		MaxPollInterval: 8 * time.Second,
		ReadTimeout:     3 * time.Second,
		LoadTimeout:     5 * time.Second,
		LoadRetry:       200 * time.Millisecond,
		BeaconInterval:  2 * time.Second,
		HeadDelay:       200 * time.Millisecond,
		MaxHops:         24,
		AdvertRefresh:   10 * time.Second,
		MergeInterval:   50 * time.Millisecond,
		FetchTimeout:    time.Second,
		FullTimeout:     3 * time.Second,
		ProbeInterval:   time.Second,
		RefuseFor:       30 * time.Second,
		KeepDeltas:      32,
		KeepRecent:      3,
		RecentFor:       20 * time.Second,
		MaxDeltaBytes:   128 << 10,
		PartBytes:       32 << 10,
		MaxFull:         2,
		PartsPerStep:    8,
		PartPause:       100 * time.Millisecond,
		AckDelay:        50 * time.Millisecond,
		AckRetry:        time.Second,
		MaxAckRetry:     16 * time.Second,
		StatusDelay:     2 * time.Second,
		StatusInterval:  time.Second,
		StatusBeacons:   5,
		BorderDelay:     500 * time.Millisecond,
		JoinQuorum:      2,
		JoinSettle:      300 * time.Millisecond,
		JoinTimeout:     10 * time.Second,
		JoinReadDelay:   time.Second,
		JoinReadSpacing: 50 * time.Millisecond,
		MaxJoinRead:     30 * time.Second,
		RememberFor:     time.Hour,
		MaxRemembered:   8192,
	}
}
