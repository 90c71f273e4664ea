package store

// A store may be restored from an older copy. It then loses the later writes and assigns
// their revisions again to other writes. A revision therefore also holds the store's
// epoch, which counts its restores: revisions of one epoch are in the order of the writes,
// and revisions of different epochs are never equal. A store that doesn't report its epoch
// has epoch 0.

// epochShift is the number of low bits of a revision that hold the transaction number
// within the epoch: at a thousand transactions a second they last for 8,900 years.
const epochShift = 48

// MaxEpoch is the largest epoch that a revision can hold.
const MaxEpoch = 1<<(64-epochShift) - 1

// InEpoch returns the revision of a transaction in an epoch of the store. It returns 0,
// which stands for no revision, for transaction 0 of any epoch.
func InEpoch(epoch, transaction uint64) uint64 {
	if transaction == 0 {
		return 0
	}
	return epoch<<epochShift | transaction
}

// Epoch returns the epoch of the store in which a revision was assigned.
func Epoch(revision uint64) uint64 { return revision >> epochShift }

// Transaction returns a revision's transaction number within its epoch.
func Transaction(revision uint64) uint64 { return revision & (1<<epochShift - 1) }
