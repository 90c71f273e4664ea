package store

// A store may come back from an older copy of itself. What it had taken since is gone
// then, and it gives the same revisions out again for other writes. So a revision also
// counts the store's lives: those of one life are in the order of its writes, and no two
// of different lives are equal. A store that doesn't count its lives has life 0.

// lifeShift is the number of bits for the transactions of one life: at a thousand a
// second they last for 8,900 years.
const lifeShift = 48

// MaxLife is the largest life that a revision can tell.
const MaxLife = 1<<(64-lifeShift) - 1

// InLife returns the revision of a transaction in a life of the store. Transaction 0,
// which stands for no revision, has no life.
func InLife(life, transaction uint64) uint64 {
	if transaction == 0 {
		return 0
	}
	return life<<lifeShift | transaction
}

// Life returns the life of the store that a revision belongs to.
func Life(revision uint64) uint64 { return revision >> lifeShift }

// Transaction returns the number of a revision's transaction in its life.
func Transaction(revision uint64) uint64 { return revision & (1<<lifeShift - 1) }
