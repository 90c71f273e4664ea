package fleet

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/jacinthgate/jacinthgate/coordination/accept"
	"github.com/jacinthgate/jacinthgate/platform"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
	"github.com/jacinthgate/jacinthgate/protocol/operator"
	"github.com/jacinthgate/jacinthgate/protocol/outcome"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/snapshot"
)

// The platform is down, slow, and loses answers and requests. No change is
// called accepted falsely, sending it again settles it once, and the nodes go
// on serving.
func TestPlatformFaults(t *testing.T) {
	t.Parallel()
	f := start(t, Spread(6, "angyalfold", "csepel", "obuda"), relayed)
	c := first(t, f)
	o := observe(t, f)
	near, far := f.Members[0], f.Members[1]
	inForce(t, near, c.next(t, near))

	down := platformtest.DefaultFaults()
	down.Down = true
	slow := platformtest.DefaultFaults()
	slow.Delay = model.Duration(3 * time.Second) // longer than a node waits for a call
	for _, faults := range []platformtest.Faults{down, slow} {
		req := c.request()
		platformFaults(t, f, faults)
		_, err := near.Operator().Apply(context.Background(), req)
		notAccepted(t, err)
		_, reason := ask(far, marker(c.count))
		must.True(t, served(reason), must.Sprint(reason))
		platformFaults(t, f, platformtest.DefaultFaults())
		inForce(t, far, settle(t, c, far, req))
	}

	for lost := 1; lost <= 5; lost++ { // of the writes of a change, one or more
		lossy := platformtest.DefaultFaults()
		lossy.LoseNextAnswers = lost
		platformFaults(t, f, lossy)
		req := c.request()
		resp, err := near.Operator().Apply(context.Background(), req)
		must.NoError(t, err)
		must.Eq(t, resp.Version, settle(t, c, far, req))
	}
	lossy := platformtest.DefaultFaults()
	lossy.LoseAnswers, lossy.LoseRequests = 0.4, 0.2
	platformFaults(t, f, lossy)
	for range 3 {
		settle(t, c, near, c.request())
	}
	platformFaults(t, f, platformtest.DefaultFaults())
	inForce(t, far, c.base)
	checkNeverBack(t, f, o, c.count)
}

// corrupt damages both objects of a version and returns what undoes it: the
// delta by one bit, and the whole version by a valid one with the same number
// that lacks the test's organisation.
func corrupt(t *testing.T, f *Fleet, version uint64) (undo func()) {
	t.Helper()
	objects := platform.NewObjects(platform.NewStore(platform.DefaultStoreConfig(f.PlatformURL())), prefix, deadline)
	ctx := context.Background()
	keys, err := objects.List(ctx, "config/", "", 1000)
	must.NoError(t, err)
	good := make(map[string][]byte)
	for _, key := range keys {
		if v, ok := accept.ObjectVersion(key); !ok || v != version {
			continue
		}
		body, err := objects.Get(ctx, key)
		must.NoError(t, err)
		good[key] = body
		bad := bytes.Clone(body)
		bad[len(bad)-1] ^= 1
		if strings.HasPrefix(key, accept.FullPrefix) {
			bad = without(t, body)
		}
		must.NoError(t, objects.Put(ctx, key, bad))
	}
	must.MapLen(t, 2, good)
	return func() {
		for key, body := range good {
			must.NoError(t, objects.Put(ctx, key, body))
		}
	}
}

// prefix starts the platform's keys of the mesh.
const prefix = "jacinthgate/"

// without returns a whole version of the same number without the test's
// organisation.
func without(t *testing.T, body []byte) []byte {
	t.Helper()
	s, err := snapshot.Decode(body)
	must.NoError(t, err)
	contracts := make(map[string]*snapshot.ContractEntry)
	for _, name := range s.Organisations() {
		if name != organisation {
			contracts[name] = s.Contract(name)
		}
	}
	services := make(map[string]*snapshot.ServiceEntry)
	for _, name := range s.Services() {
		services[name] = s.Service(name)
	}
	other, err := snapshot.Build(s.Version(), contracts, services)
	must.NoError(t, err)
	raw, err := other.Encode()
	must.NoError(t, err)
	return raw
}

// A version whose objects were damaged in the store is refused whole by a zone
// that has only the store to read it from. The zone goes on serving, and says
// which version it refused and why.
func TestBadVersionIsRefusedWhole(t *testing.T) {
	t.Parallel()
	f := start(t, Spread(6, "angyalfold", "csepel", "obuda"), relayed)
	c := first(t, f)
	o := observe(t, f)
	near := f.Members[0]
	inForce(t, near, c.next(t, near))
	good := c.base
	f.CutZone("obuda", true)
	bad := c.next(t, near)
	undo := corrupt(t, f, bad)
	f.Cuts.Heal(SideOf("obuda"), SidePlatform)

	zone := zoneMembers(f, "obuda")
	eventually(t, "the zone names the version as refused", func() bool {
		z := zoneOf(progress(t, zone[0], bad), "obuda")
		return z.Holding == 0 && len(z.Rejections) > 0 && z.Rejections[0].Version == bad && z.Rejections[0].Reason != ""
	})
	for _, m := range zone {
		must.Eq(t, good, heldBy(t, m))
		_, reason := ask(m, marker(1))
		must.True(t, served(reason))
		_, reason = ask(m, marker(2))
		must.Eq(t, outcome.ReasonNoRoute, reason)
	}
	undo()
	f.HealZone("obuda")
	inForce(t, near, bad)
	checkNeverBack(t, f, o, c.count)
}

// history waits for the accepted changes with an id and returns how many there are.
func history(t *testing.T, m *Member, id string) int {
	t.Helper()
	count := 0
	eventually(t, "the history is read", func() bool {
		h, err := m.Operator().History(context.Background(), "", 0)
		if err != nil {
			return false
		}
		count = 0
		for _, e := range h.Entries {
			if e.ChangeID == id {
				count++
			}
		}
		return true
	})
	return count
}

// settle sends a change until it is accepted, and checks that it was accepted
// once.
func settle(t *testing.T, c *changes, m *Member, req *operator.ApplyRequest) uint64 {
	t.Helper()
	req.Resend = true
	var resp *operator.ApplyResponse
	eventually(t, "the change is settled", func() bool {
		var err error
		resp, err = m.Operator().Apply(context.Background(), req)
		return err == nil
	})
	must.Eq(t, 1, history(t, m, req.ChangeID))
	c.accepted(req, resp.Version)
	return resp.Version
}

// notAccepted checks that a change that can't have been accepted is not
// reported as accepted, nor as in conflict or invalid.
func notAccepted(t *testing.T, err error) {
	t.Helper()
	var p *operator.Problem
	if errors.As(err, &p) {
		must.SliceContains(t, []operator.Code{operator.CodeRefused, operator.CodeUnknown}, p.Code)
		return
	}
	must.Error(t, err) // no answer at all promises nothing
}

// call calls the platform's stand-in.
func call(t *testing.T, method, url string, body []byte) []byte {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	return raw
}
