package platform_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	standin "github.com/jacinthgate/jacinthgate/internal/standin/platform"
	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/transport/platform"
)

func start(t *testing.T, f standin.Faults) (*standin.Store, *platform.Client) {
	t.Helper()
	store := standin.New(f, 1)
	srv := httptest.NewServer(store.Handler())
	c := platform.New(platform.DefaultConfig(srv.URL))
	t.Cleanup(func() {
		c.Close()
		srv.Close()
	})
	return store, c
}

func TestTransactIsConditionalAndWhole(t *testing.T) {
	store, c := start(t, standin.Faults{})
	tb := c.Table()
	revs, err := tb.Transact(t.Context(), []platform.Write{{Key: "a", Value: []byte("1")}, {Key: "b"}})
	must.NoError(t, err)
	must.Len(t, 2, revs)

	_, err = tb.Transact(t.Context(), []platform.Write{{Key: "c"}, {Key: "a", Value: []byte("2")}})
	var ce *platform.ConditionError
	must.True(t, errors.As(err, &ce))
	must.Eq(t, platform.Item{Key: "a", Value: []byte("1"), Revision: revs[0]}, ce.Current)

	items, err := tb.List(t.Context(), "", "a", 10)
	must.NoError(t, err)
	must.Len(t, 1, items) // c was not written
	must.Eq(t, "b", items[0].Key)

	// Another system's key is out of reach.
	_, err = store.Table().Transact(t.Context(), []platform.Write{{Key: "a"}})
	must.NoError(t, err)

	// A key that was removed and written again never has an old revision.
	_, err = tb.Transact(t.Context(), []platform.Write{{Key: "a", Delete: true, IfRevision: revs[0]}})
	must.NoError(t, err)
	again, err := tb.Transact(t.Context(), []platform.Write{{Key: "a"}})
	must.NoError(t, err)
	must.Greater(t, revs[0], again[0])
}

func TestObjects(t *testing.T) {
	_, c := start(t, standin.Faults{})
	o := c.Objects()
	_, err := o.Get(t.Context(), "config/full/1-x")
	var nf *platform.NotFoundError
	must.True(t, errors.As(err, &nf))
	must.NoError(t, o.Put(t.Context(), "config/full/1-x", []byte{0, 1, 2}))
	must.NoError(t, o.Put(t.Context(), "config/full/2-y", nil))
	b, err := o.Get(t.Context(), "config/full/1-x")
	must.NoError(t, err)
	must.Eq(t, []byte{0, 1, 2}, b)
	keys, err := o.List(t.Context(), "config/", "config/full/1-x", 5)
	must.NoError(t, err)
	must.Eq(t, []string{"config/full/2-y"}, keys)
	must.NoError(t, o.Delete(t.Context(), "config/full/1-x"))
	must.NoError(t, o.Delete(t.Context(), "config/full/1-x"))
	_, err = o.Get(t.Context(), "config/full/1-x")
	must.True(t, errors.As(err, &nf))
}

// Each fault has one class of error for a write and one for a read, and a
// write either took effect or not.
func TestFaults(t *testing.T) {
	const unavailable, unknown = "unavailable", "unknown"
	slow := model.Duration(time.Hour)
	tests := []struct {
		name        string
		faults      standin.Faults
		write, read string
		effect      bool
	}{
		{"down", standin.Faults{Down: true}, unavailable, unavailable, false},
		{"rate cap", standin.Faults{ReadsPerSecond: 1e-9, WritesPerSecond: 1e-9}, unavailable, unavailable, false},
		{"request lost", standin.Faults{LoseRequests: 1}, unknown, unavailable, false},
		{"answer lost", standin.Faults{LoseAnswers: 1}, unknown, "", true},
		{"slow", standin.Faults{Delay: slow}, unknown, unavailable, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			store := standin.New(tc.faults, 1)
			srv := httptest.NewServer(store.Handler())
			cfg := platform.DefaultConfig(srv.URL)
			cfg.Timeout = 5 * time.Second
			if tc.faults.Delay != 0 {
				cfg.Timeout = 100 * time.Millisecond
			}
			c := platform.New(cfg)
			drainCaps(t, store)
			_, err := c.Table().Transact(t.Context(), []platform.Write{{Key: "a"}})
			must.Eq(t, tc.write, class(err))
			must.Eq(t, tc.write, class(c.Objects().Put(t.Context(), "o", nil)))
			_, err = c.Table().Get(t.Context(), "a")
			must.Eq(t, tc.read, class(err))
			store.SetFaults(standin.Faults{})
			it, err := c.Table().Get(t.Context(), "a")
			must.NoError(t, err)
			must.Eq(t, tc.effect, it.Revision != 0)
			srv.CloseClientConnections()
		})
	}
}

// drainCaps uses up the burst of the rate caps.
func drainCaps(t *testing.T, s *standin.Store) {
	if s.Faults().ReadsPerSecond == 0 {
		return
	}
	for range 30 {
		_, _ = s.Table().Get(t.Context(), "x")
		_, _ = s.Table().Transact(t.Context(), []platform.Write{{Key: "x", IfRevision: 99}})
	}
}

func TestRefusedConnectionHadNoEffect(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	c := platform.New(platform.DefaultConfig(srv.URL))
	srv.Close()
	_, err := c.Table().Transact(t.Context(), []platform.Write{{Key: "a"}})
	must.Eq(t, "unavailable", class(err))
}

func TestOversizedAnswer(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 100))
	}))
	defer srv.Close()
	cfg := platform.DefaultConfig(srv.URL)
	cfg.MaxObject = 99
	cfg.MaxTable = 99
	c := platform.New(cfg)
	defer c.Close()
	_, err := c.Objects().Get(t.Context(), "o")
	var se *platform.SizeError
	must.True(t, errors.As(err, &se))
	must.Eq(t, "unavailable", class(err))
	_, err = c.Table().Transact(t.Context(), nil)
	must.Eq(t, "unknown", class(err))
}

func class(err error) string {
	var unavailable *platform.UnavailableError
	var unknown *platform.UnknownError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &unknown):
		return "unknown"
	default:
		return err.Error()
	}
}
