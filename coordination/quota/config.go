package quota

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Config sets how far requests may exceed their organisations' quotas.
type Config struct {
	// Zones is the number of availability zones, including unavailable ones.
	Zones int
	// Window is the period over which requests are counted.
	Window time.Duration
	// Over is the fraction by which a quota may be exceeded in a window, and Slack a number
	// of requests that may be served in addition.
	Over, Slack float64
}

// The allowance, which is what may be served in a window beyond a quota, is divided into parts.
// One lets ledgers hold more than the burst, since the requests of a caller that keeps to a small
// quota don't arrive evenly. Another lets standbys hold deposits for the time without an owner. The
// rest covers requests that were admitted before a ledger was lost, which still count, and requests
// that both sides of a network partition admit until they detect it (Config.duplicateLimit).
const (
	// ledgerOverFraction and ledgerSlackFraction are the parts of Over and Slack that ledgers
	// may hold beyond the burst.
	ledgerOverFraction  = 0.05
	ledgerSlackFraction = 0.4
	// initialFraction is the part of the allowance that new ledgers start with if no deposit was
	// left for them.
	initialFraction = 0.15
	// evenShareFraction is the part of the allowance that nodes start with when they reach no
	// owner.
	evenShareFraction = 0.12
	// extraDepositFraction is the part of the allowance that is issued for deposits, in addition
	// to what the ledgers hold.
	extraDepositFraction = 0.2
)

// reducedRateFraction is the part of its rate at which a standby or an even share issues tokens
// while the node can't determine whether the ledger's owner issues them too.
const reducedRateFraction = 0.7

// allowance returns the number of requests by which an organisation may exceed its quota in a
// window.
func (c Config) allowance(rate model.Rate) float64 {
	return c.Over*(rate.PerSecond*c.Window.Seconds()+float64(rate.Burst)) + c.Slack
}

// initialTokens returns the tokens that a new ledger of a zone starts with.
func (c Config) initialTokens(rate model.Rate) float64 {
	return min(c.ledgerSize(rate).burst, initialFraction*c.allowance(rate)/float64(c.zones()))
}

// extraDeposit returns the tokens that a zone issues for its standby beyond its ledger's capacity.
func (c Config) extraDeposit(rate model.Rate) float64 {
	return min(c.ledgerSize(rate).burst, extraDepositFraction*c.allowance(rate)/float64(c.zones()))
}

// duplicateLimit returns the tokens that a zone's standby may issue in a window while the owner may
// issue the same ones: the zone's part of the allowance that remains after all other uses.
func (c Config) duplicateLimit(rate model.Rate) float64 {
	allowance := c.allowance(rate)
	remaining := allowance*(1-initialFraction-evenShareFraction-extraDepositFraction) - (c.fleetCapacity(rate) - float64(rate.Burst))
	return max(0, remaining) / float64(c.zones())
}

func (c Config) zones() int { return max(1, c.Zones) }

// ledgerSize is the size of a ledger: the tokens issued per second, the tokens it holds at most, and
// the tokens that its standby may hold in addition.
type ledgerSize struct{ perSecond, burst, extraDeposit float64 }

// fleetCapacity returns the number of an organisation's tokens that the fleet's ledgers may hold.
func (c Config) fleetCapacity(rate model.Rate) float64 {
	return float64(rate.Burst) + ledgerSlackFraction*c.Slack + ledgerOverFraction*(c.allowance(rate)-c.Slack)
}

// ledgerSize returns the size of a zone's ledger. It holds at least one whole token: with less, a
// zone that is cut off from the others could admit no request at all.
func (c Config) ledgerSize(rate model.Rate) ledgerSize {
	n := float64(c.zones())
	return ledgerSize{perSecond: rate.PerSecond / n, burst: max(1, c.fleetCapacity(rate)/n)}
}
