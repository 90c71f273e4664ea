package node

import (
	"context"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthgate/jacinthgate/coordination/claim"
	"github.com/jacinthgate/jacinthgate/internal/claims"
	"github.com/jacinthgate/jacinthgate/transport/entry"
)

// claimer lets the entry proxy use a claims.Keeper.
type claimer struct {
	keeper *claims.Keeper
}

// Begin implements entry.Claimer.
func (c claimer) Begin(ctx context.Context, organisation, key string, fp claim.Fingerprint) (entry.Claim, entry.ClaimVerdict) {
	held, v := c.keeper.Begin(ctx, organisation, key, fp)
	switch v.Kind {
	case claims.Replay:
		return nil, entry.ClaimVerdict{Replay: &v.Answer}
	case claims.Refuse:
		return nil, entry.ClaimVerdict{Refusal: &v.Refusal}
	default:
		return held, entry.ClaimVerdict{}
	}
}

// registerClaimMetrics shows what the keeper counts.
func registerClaimMetrics(set *metrics.Set, s *claims.Stats) {
	show := func(result string, counter *atomic.Uint64) {
		name := `jacinthgate_claims_total{result="` + result + `"}`
		set.NewGauge(name, func() float64 { return float64(counter.Load()) })
	}
	show("claimed", &s.Claimed)
	show("replayed", &s.Replayed)
	show("refused", &s.Refused)
	show("stuck", &s.Stuck)
}
