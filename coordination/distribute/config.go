package distribute

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// Config holds the settings of a Core. All durations must be more than 0 unless
// they say otherwise.
type Config struct {
	// PollInterval is the time between two reads of the platform's head by the
	// zone's reader. It must not exceed BeaconInterval, because PlatformOK in a
	// beacon promises a read within the last BeaconInterval.
	PollInterval time.Duration
	// MaxPollInterval bounds the backoff after failed reads of the head.
	MaxPollInterval time.Duration
	// ReadTimeout is how long a read of the head may remain unanswered before it
	// counts as failed.
	ReadTimeout time.Duration
	// LoadTimeout is how long a load of a version from the platform may remain
	// unanswered before it counts as failed.
	LoadTimeout time.Duration
	// LoadRetry is the delay before the first retry of a failed load. It doubles
	// with each further failure up to LoadTimeout.
	LoadRetry time.Duration

	// BeaconInterval is the time between two beacons while nothing changes.
	BeaconInterval time.Duration
	// HeadBeaconDelay is how long the reader waits for the body of a new head,
	// beyond the MergeInterval that may delay the fetch, before it sends a beacon
	// with a head that it does not hold. If the body arrives earlier, an advert
	// announces the version instead. HeadBeaconDelay is also the shortest time
	// between two beacons.
	HeadBeaconDelay time.Duration
	// MaxHops bounds the number of nodes that relay one beacon.
	MaxHops uint8
	// AdvertRefresh is the time between two repeated adverts, each of which goes
	// to one neighbour in turn. They make up for adverts that were lost.
	AdvertRefresh time.Duration

	// MergeInterval is the shortest time between the starts of two fetches, so
	// that a burst of versions is fetched as one. A change after a quiet period is
	// fetched at once. It may be 0.
	MergeInterval time.Duration
	// FetchTimeout is how long a fetch may make no progress before the node turns
	// to another source.
	FetchTimeout time.Duration
	// FullTimeout takes the place of FetchTimeout on a node that holds no version,
	// because its source may queue it behind other transfers. It is also the
	// longest wait for the next part of a whole version.
	FullTimeout time.Duration
	// ProbeInterval is how long a node that has learned of a newer head waits for
	// an advert before it sends a fetch to a neighbour that has not advertised
	// that head. It is also the time between two such fetches.
	ProbeInterval time.Duration
	// RefuseFor is how long a rejected version is not fetched again from the same
	// source.
	RefuseFor time.Duration

	// KeepDeltas is the number of earlier held versions from which a delta can be
	// served.
	KeepDeltas int
	// KeepSnapshots is the number of earlier snapshots kept as bases for received
	// deltas.
	KeepSnapshots int
	// KeepSnapshotsFor is how long an earlier snapshot is kept.
	KeepSnapshotsFor time.Duration
	// MaxDeltaBytes is the size of the largest encoded delta that is served. In
	// place of a larger one, the whole version is sent in parts.
	MaxDeltaBytes int
	// PartBytes is the size of one part of a whole version. Small parts let urgent
	// messages pass between them.
	PartBytes int
	// MaxFullTransfers bounds the transfers of whole versions that run at one
	// time.
	MaxFullTransfers int
	// PartsPerStep is the number of parts of one transfer that are sent in each
	// batch.
	PartsPerStep int
	// PartPause is the time between two batches of parts of one transfer.
	PartPause time.Duration

	// AckDelay is how long acknowledgements are collected before they are passed
	// on in one message.
	AckDelay time.Duration
	// AckRetry is the delay before a node first repeats its own acknowledgement
	// when the zone's status does not include it. The delay doubles with each
	// repetition up to MaxAckRetry.
	AckRetry time.Duration
	// MaxAckRetry bounds the delay between repeated acknowledgements.
	MaxAckRetry time.Duration
	// StatusDelay is how long an incomplete zone status is held back after a
	// change. A complete one is sent at once.
	StatusDelay time.Duration
	// StatusInterval is the shortest time between two incomplete statuses.
	StatusInterval time.Duration
	// StatusBeacons is the number of beacons after which the status is repeated
	// even if it has not changed.
	StatusBeacons int
	// CrossZoneDelay is the shortest delay before a node passes the status of
	// another zone on to a third zone, which usually receives it from the
	// originating zone directly. A random delay of up to the same length is added,
	// so that one of several nodes sends the status before the others.
	CrossZoneDelay time.Duration

	// JoinQuorum is the number of ready peers that must have sent the version that
	// they remember a freshly started node to have held, before that node becomes
	// ready without a read of the platform.
	JoinQuorum int
	// JoinSettle is how long a freshly started node waits after its first peer has
	// connected, so that all neighbours that may remember an earlier incarnation
	// can answer.
	JoinSettle time.Duration
	// JoinTimeout bounds the wait for JoinQuorum. Afterwards the newest version of
	// any connected ready peer is sufficient. After the same time, a node that has
	// ready peers but cannot become ready from them reads the head itself.
	JoinTimeout time.Duration
	// JoinReadDelay is how long a freshly started node without a ready peer waits
	// before it reads the head itself.
	JoinReadDelay time.Duration
	// JoinReadSpacing is the mean time between such reads over all members of a
	// zone, so that the rate of reads does not grow with the size of the zone.
	JoinReadSpacing time.Duration
	// MaxJoinRead bounds the backoff between such reads of one node.
	MaxJoinRead time.Duration

	// RememberFor is how long a node keeps a record of the version that another
	// node held, counted from the last confirmation.
	RememberFor time.Duration
	// MaxRemembered bounds the number of nodes with such a record.
	MaxRemembered int

	// Check validates a whole version beyond what CheckConsistency covers, for example
	// against the schema. An error rejects the version. Nil accepts all. It must
	// be a pure function.
	Check func(*snapshot.Snapshot) error
}

// DefaultConfig returns the settings for a fleet of the design size.
func DefaultConfig() Config {
	return Config{
		PollInterval:     500 * time.Millisecond,
		MaxPollInterval:  8 * time.Second,
		ReadTimeout:      3 * time.Second,
		LoadTimeout:      5 * time.Second,
		LoadRetry:        200 * time.Millisecond,
		BeaconInterval:   2 * time.Second,
		HeadBeaconDelay:  200 * time.Millisecond,
		MaxHops:          24,
		AdvertRefresh:    10 * time.Second,
		MergeInterval:    50 * time.Millisecond,
		FetchTimeout:     time.Second,
		FullTimeout:      3 * time.Second,
		ProbeInterval:    time.Second,
		RefuseFor:        30 * time.Second,
		KeepDeltas:       32,
		KeepSnapshots:    3,
		KeepSnapshotsFor: 20 * time.Second,
		MaxDeltaBytes:    128 << 10,
		PartBytes:        32 << 10,
		MaxFullTransfers: 2,
		PartsPerStep:     8,
		PartPause:        100 * time.Millisecond,
		AckDelay:         50 * time.Millisecond,
		AckRetry:         time.Second,
		MaxAckRetry:      16 * time.Second,
		StatusDelay:      2 * time.Second,
		StatusInterval:   time.Second,
		StatusBeacons:    5,
		CrossZoneDelay:   500 * time.Millisecond,
		JoinQuorum:       2,
		JoinSettle:       300 * time.Millisecond,
		JoinTimeout:      10 * time.Second,
		JoinReadDelay:    time.Second,
		JoinReadSpacing:  50 * time.Millisecond,
		MaxJoinRead:      30 * time.Second,
		RememberFor:      time.Hour,
		MaxRemembered:    8192,
	}
}
