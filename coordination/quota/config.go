package quota

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Config tells how strictly quotas are kept.
type Config struct {
	// Zones is the number of availability zones, those that are away included.
	Zones int
	// Window is the time over which requests are counted.
	Window time.Duration
	// Over is the part of a quota that may be served beyond it in a window, and Slack how
	// many more requests may be.
	Over, Slack float64
}

// What may be served beyond a quota in a window is divided: some lets ledgers hold more than
// the burst, since callers that keep to a small quota don't come evenly, and standbys hold some for
// while an owner is gone. The rest is for what was let in before a ledger was lost, which still
// counts, and for what both sides of a cut let in until they know of it (Config.doubled).
const (
	// heldOver and heldSlack are the parts of Over and Slack that ledgers hold.
	heldOver  = 0.05
	heldSlack = 0.4
	// startPart is the part that new ledgers begin with, which no deposit was left for.
	startPart = 0.15
	// evenSharePart is the part that nodes begin with that find no owner.
	evenSharePart = 0.12
	// besidePart is the part that is issued ahead for standbys, beside what the ledgers hold.
	besidePart = 0.2
)

// reducedPart is the part of its rate that is issued by who doesn't know whether the owner of a
// ledger issues too: standbys and even shares.
const reducedPart = 0.7

// allowance returns how many requests beyond its quota an organisation may run in a window.
func (c Config) allowance(rate model.Rate) float64 {
	return c.Over*(rate.PerSecond*c.Window.Seconds()+float64(rate.Burst)) + c.Slack
}

// start returns the tokens that a ledger begins with.
func (c Config) start(rate model.Rate) float64 {
	return min(c.part(rate).burst, startPart*c.allowance(rate)/float64(c.zones()))
}

// deposit returns the tokens that a zone issues ahead for its standby.
func (c Config) deposit(rate model.Rate) float64 {
	return min(c.part(rate).burst, besidePart*c.allowance(rate)/float64(c.zones()))
}

// doubled returns the tokens that a zone's standby issues in a window while the owner may issue as
// well: its part of what all else leaves of the allowance.
func (c Config) doubled(rate model.Rate) float64 {
	allowed := c.allowance(rate)
	left := allowed*(1-startPart-evenSharePart-besidePart) - (c.hold(rate) - float64(rate.Burst))
	return max(0, left) / float64(c.zones())
}

func (c Config) zones() int { return max(1, c.Zones) }

// size is how many tokens a ledger issues a second, how many it holds at most, and how many
// its standby may hold beside that.
type size struct{ perSecond, burst, beside float64 }

// hold returns how many tokens the fleet may hold of an organisation.
func (c Config) hold(rate model.Rate) float64 {
	return float64(rate.Burst) + heldSlack*c.Slack + heldOver*(c.allowance(rate)-c.Slack)
}

// part returns the size of a zone's ledger. It holds a whole token at least: without one no
// request could be let in where the other zones are cut off.
func (c Config) part(rate model.Rate) size {
	n := float64(c.zones())
	return size{perSecond: rate.PerSecond / n, burst: max(1, c.hold(rate)/n)}
}
