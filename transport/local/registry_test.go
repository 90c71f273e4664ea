package local

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const announcement = `{"service":"rooms","address":"127.0.0.1:80","slots":10,"connections":110}`

func newRegistry() (*Registry, *time.Time, *[]Announcement) {
	now := time.Unix(1000, 0)
	cfg := DefaultConfig()
	cfg.Now = func() time.Time { return now }
	r := New(cfg)
	var changes []Announcement
	r.OnChange(func(a Announcement) { changes = append(changes, a) })
	return r, &now, &changes
}

func post(r *Registry, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w
}

func TestRefusedAnnouncements(t *testing.T) {
	cases := []struct {
		path, body string
		status     int
		detail     string
	}{
		{"/announce", "{", 400, "malformed"},
		{"/announce", `{"service":"a","colour":1}`, 400, "colour"},
		{"/announce", strings.Replace(announcement, "rooms", "", 1), 422, `"field":"service"`},
		{"/announce", strings.Replace(announcement, "127.0.0.1", "localhost", 1), 422, `"field":"address"`},
		{"/announce", strings.Replace(announcement, `"slots":10`, `"slots":0`, 1), 422, `"field":"slots"`},
		{"/announce", strings.Replace(announcement, "110", "-1", 1), 422, `"field":"connections"`},
		{"/drain", "", 409, "no-server"},
	}
	for _, tc := range cases {
		r, _, changes := newRegistry()
		w := post(r, tc.path, tc.body)
		must.Eq(t, tc.status, w.Code)
		must.StrContains(t, w.Body.String(), tc.detail)
		must.Len(t, 0, *changes)
	}
}

func TestAnnouncementLifecycle(t *testing.T) {
	r, now, changes := newRegistry()
	must.Eq(t, 200, post(r, "/announce", announcement).Code)
	must.Eq(t, 200, post(r, "/drain", "").Code)
	since := r.Current().Since

	// Renewals are not reported as changes and don't end the drain.
	for range 5 {
		*now = now.Add(5 * time.Second)
		must.Eq(t, 200, post(r, "/announce", announcement).Code)
		r.Tick()
	}
	must.True(t, r.Current().Draining)
	must.Eq(t, since, r.Current().Since)
	must.Len(t, 2, *changes)

	must.Eq(t, 200, post(r, "/undrain", "").Code)
	*now = now.Add(6 * time.Second)
	r.Tick()
	must.True(t, r.Current().Announced())
	*now = now.Add(time.Second)
	r.Tick()
	must.False(t, r.Current().Announced())
	must.Len(t, 4, *changes)

	// A backend server that is announced again after a withdrawal is in slow start
	// again.
	must.Eq(t, 200, post(r, "/announce", announcement).Code)
	must.Eq(t, *now, r.Current().Since)
	must.Eq(t, 200, post(r, "/withdraw", "").Code)
	must.Len(t, 6, *changes)
}
