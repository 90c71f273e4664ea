package serverlimit

const (
	// trialRate is the least rate, in requests per second, at which a backend server gets
	// requests whatever limit it states: only a response can tell that the limit has ended.
	trialRate = 0.5
	// burstSeconds is the burst in seconds at the stated rate.
	burstSeconds = 0.5
)

// Rate returns the rate in requests per second at which requests may be sent under the limit,
// and the burst in requests. In any four seconds that is at most four and a half times the
// limit, or three requests where the limit is below the rate of trials.
func (l Limit) Rate() (perSecond, burst float64) {
	perSecond = max(l.PerSecond, trialRate)
	return perSecond, perSecond * burstSeconds
}
