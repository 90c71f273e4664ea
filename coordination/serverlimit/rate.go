package serverlimit

const (
	// trialRate is the least rate, in requests per second, at which a backend server gets
	// requests whatever limit it states: only a response can tell that the limit has ended.
	trialRate = 0.5
	// unconfirmedRate bounds the rate, in requests per second, until a response confirms a limit
	// that only an entry node has told: the backend server may have lowered it since that node
	// last received a response.
	unconfirmedRate = 2
	// burstSeconds is the burst in seconds at the stated rate.
	burstSeconds = 0.5
)

// Rate returns the rate in requests per second at which requests may be sent under the limit,
// and the burst in requests. In any four seconds that is at most four and a half times the
// limit, or three requests where the limit is below the rate of trials.
func (l Limit) Rate() (perSecond, burst float64) {
	perSecond = max(l.PerSecond, trialRate)
	if l.Source == SourceEntryNode {
		perSecond = min(perSecond, unconfirmedRate)
	}
	return perSecond, perSecond * burstSeconds
}
