// Package sidecar wires a node for the users' platform: one small process
// beside each backend server, without disk, keys or an operator's interface of
// its own. What must last lies in the platform's store.
package sidecar

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	"github.com/jacinthgate/jacinthgate/coordination/attempt"
	"github.com/jacinthgate/jacinthgate/coordination/rollout"
	"github.com/jacinthgate/jacinthgate/state/model"
)

// Settings are the settings of one node, in JSON. deploy/settings.json.tmpl
// renders them. Fields that are not known are ignored.
type Settings struct {
	// Node is the node's unique name.
	Node model.NodeID `json:"node"`
	// Zone is the host's availability zone.
	Zone model.Zone `json:"zone"`
	// Region is the host's region.
	Region model.Region `json:"region"`
	// Zones are all availability zones of the site, with their regions.
	Zones map[model.Zone]model.Region `json:"zones"`
	// Service is the service of the host's backend server. Heartbeats of another service are not
	// that server's and name none to use. Without it, any service that the configuration names may
	// be offered.
	Service string `json:"service"`
	// Listen are the addresses to listen on, each IP:port.
	Listen Listen `json:"listen"`
	// Advertise are the addresses at which other nodes reach this one, where they
	// differ from those it listens on.
	Advertise Advertise `json:"advertise"`
	// Store is the address of the platform's store, IP:port.
	Store string `json:"store"`
	// FirstStart says that the whole site starts for the first time.
	FirstStart bool `json:"firstStart"`
	// HeartbeatMillis is the time between two heartbeats of a backend server,
	// in milliseconds.
	HeartbeatMillis int `json:"heartbeatMillis"`
	// MemoryMB is the memory above which the process is killed, in megabytes.
	MemoryMB int `json:"memoryMB"`
	// MaxFiles is the number of file descriptors that the process may have open; 0 is no bound.
	MaxFiles int `json:"maxFiles"`
	// LinkMbps is the rate of the host's link, in megabits per second.
	LinkMbps float64 `json:"linkMbps"`
	// DrainMillis is how long after its goodbye a backend server still gets
	// requests at the latest, in milliseconds.
	DrainMillis int `json:"drainMillis"`
	// GraceSeconds is the time from SIGTERM to SIGKILL, in seconds.
	GraceSeconds float64 `json:"graceSeconds"`
	// Retry bounds the repeats of the whole fleet.
	Retry RetrySettings `json:"retry"`
	// Rollout bounds what a new version of backend servers gets before it is trusted.
	Rollout RolloutSettings `json:"rollout"`
	// Revocation bounds how long a key that was taken away may still be used.
	Revocation RevocationSettings `json:"revocation"`
	// Quota tells how strictly the quotas of organisations are kept.
	Quota QuotaSettings `json:"quota"`
	// Cold bounds the requests to cold backend servers beyond their configured rate.
	Cold ColdSettings `json:"cold"`
	// EvacuateMillis is how long after the order to evacuate its zone a backend server may
	// still get requests, in milliseconds; DrainMillis if it is 0.
	EvacuateMillis int `json:"evacuateMillis"`
	// LogLevel is debug, info, warn or error; info without it.
	LogLevel string `json:"logLevel"`

	// content is the file as it was read.
	content []byte
	// lot is a random number below 1; see attempt.BudgetConfig.
	lot float64
}

// Listen are a node's addresses.
type Listen struct {
	// Callers takes requests of the callers on this host.
	Callers string `json:"callers"`
	// Gate takes requests of other nodes.
	Gate string `json:"gate"`
	// Ready answers whether the node takes callers.
	Ready string `json:"ready"`
	// Backend takes the heartbeats of the host's backend server.
	Backend string `json:"backend"`
	// Peers takes control connections of other nodes.
	Peers string `json:"peers"`
	// Metrics serves metrics and profiles.
	Metrics string `json:"metrics"`
}

// Advertise are a node's addresses as others see them, such as behind a
// translation of addresses. An empty one is that of Listen.
type Advertise struct {
	// Gate is where other nodes send requests.
	Gate string `json:"gate"`
	// Peers is where other nodes open control connections.
	Peers string `json:"peers"`
}

// RetrySettings bound the repeats to one service, over the whole fleet.
type RetrySettings struct {
	// Ratio is how many repeats are allowed for each request.
	Ratio float64 `json:"ratio"`
	// WindowSeconds is the time over which they are counted, in seconds.
	WindowSeconds float64 `json:"windowSeconds"`
	// Slack is how many more are allowed in a window.
	Slack float64 `json:"slack"`
	// Alone is the part of the bound that a service may use while hardly any other one's
	// requests are repeated, 0 to 1; 0 is no more than otherwise.
	Alone float64 `json:"alone"`
}

// RolloutSettings bound roll-outs.
type RolloutSettings struct {
	// ExposeShare is the largest part of a service's requests that a version may get that
	// turns out bad, 0 to 1; 0 stands for rollout.DefaultExposeShare.
	ExposeShare float64 `json:"exposeShare"`
}

// RevocationSettings bound the use of keys that were taken away.
type RevocationSettings struct {
	// RefuseUnproved says that requests with a key are refused where it isn't known whether
	// the key still holds.
	RefuseUnproved bool `json:"refuseUnproved"`
	// Millis is how long after it was taken away a key may still be used, in
	// milliseconds.
	Millis int `json:"millis"`
}

// QuotaSettings bound what organisations get beyond their quotas.
type QuotaSettings struct {
	// WindowSeconds is the time over which requests are counted, in seconds; 0 keeps no
	// quota.
	WindowSeconds float64 `json:"windowSeconds"`
	// Over is the part of a quota that may be served beyond it in a window, 0 to 1, and
	// Slack how many more requests may be.
	Over  float64 `json:"over"`
	Slack float64 `json:"slack"`
}

// ColdSettings are the tolerance for the rate of requests that the configuration gives for cold
// backend servers.
type ColdSettings struct {
	// In any second a cold backend server may get Over times its rate, plus Slack requests.
	// Over is at least 1; 0 leaves it out.
	Over  float64 `json:"over"`
	Slack float64 `json:"slack"`
}

// SettingsError reports settings that can't be used.
type SettingsError struct {
	// Field names the faulty field; empty where the file as a whole is.
	Field string
	// Reason says what was expected.
	Reason string
	// Err is the cause; it may be nil.
	Err error
}

// Error implements error.
func (e *SettingsError) Error() string {
	text := "settings"
	if e.Field != "" {
		text += ": " + e.Field
	}
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Err }

// Load reads and checks a settings file. The error is a *SettingsError.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &SettingsError{Err: err}
	}
	return parse(b)
}

// parse decodes and checks settings.
func parse(b []byte) (*Settings, error) {
	s := &Settings{content: b, lot: rand.Float64()}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, &SettingsError{Err: err}
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) check() error {
	if s.Node == "" || s.Zone == "" {
		return &SettingsError{Field: "node, zone", Reason: "must be given"}
	}
	for _, name := range []struct{ field, value string }{
		{"node", string(s.Node)}, {"zone", string(s.Zone)}, {"region", string(s.Region)}, {"service", s.Service},
	} {
		if !model.ValidText(name.value, model.MaxNameLength) {
			return &SettingsError{Field: name.field, Reason: fmt.Sprintf("want UTF-8 without control characters, %d bytes at most", model.MaxNameLength)}
		}
	}
	addrs := []struct{ field, value string }{
		{"listen.callers", s.Listen.Callers}, {"listen.gate", s.Listen.Gate}, {"listen.ready", s.Listen.Ready},
		{"listen.backend", s.Listen.Backend}, {"listen.peers", s.Listen.Peers}, {"listen.metrics", s.Listen.Metrics},
		{"store", s.Store},
	}
	if s.Advertise.Gate != "" {
		addrs = append(addrs, struct{ field, value string }{"advertise.gate", s.Advertise.Gate})
	}
	if s.Advertise.Peers != "" {
		addrs = append(addrs, struct{ field, value string }{"advertise.peers", s.Advertise.Peers})
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return &SettingsError{Field: a.field, Reason: "want IP:port", Err: err}
		}
	}
	if s.HeartbeatMillis <= 0 || s.DrainMillis <= 0 || s.GraceSeconds <= 0 || s.MemoryMB <= 0 || s.LinkMbps <= 0 {
		return &SettingsError{Field: "heartbeatMillis, drainMillis, graceSeconds, memoryMB, linkMbps", Reason: "must be above 0"}
	}
	if s.Retry.Ratio < 0 || s.Retry.WindowSeconds <= 0 || s.Retry.Slack < 0 || s.Retry.Alone < 0 || s.Retry.Alone > 1 {
		return &SettingsError{Field: "retry", Reason: "ratio and slack must not be negative, windowSeconds above 0, alone from 0 to 1"}
	}
	if s.Rollout.ExposeShare < 0 || s.Rollout.ExposeShare > 1 {
		return &SettingsError{Field: "rollout.exposeShare", Reason: "must be from 0 to 1"}
	}
	if s.Revocation.RefuseUnproved && s.Revocation.Millis <= 0 {
		return &SettingsError{Field: "revocation.millis", Reason: "must be above 0 with refuseUnproved"}
	}
	if s.Quota.WindowSeconds < 0 || s.Quota.Over < 0 || s.Quota.Over > 1 || s.Quota.Slack < 0 {
		return &SettingsError{Field: "quota", Reason: "windowSeconds and slack must not be negative, over from 0 to 1"}
	}
	if s.Cold.Over != 0 && s.Cold.Over < 1 || s.Cold.Slack < 0 {
		return &SettingsError{Field: "cold", Reason: "over must be at least 1, slack not negative"}
	}
	if s.EvacuateMillis < 0 {
		return &SettingsError{Field: "evacuateMillis", Reason: "must not be negative"}
	}
	return nil
}

// gateAddr is where other nodes send requests.
func (s *Settings) gateAddr() string { return cmp.Or(s.Advertise.Gate, s.Listen.Gate) }

// peersAddr is where other nodes open control connections.
func (s *Settings) peersAddr() string { return cmp.Or(s.Advertise.Peers, s.Listen.Peers) }

// heartbeat is the time between two heartbeats of a backend server.
func (s *Settings) heartbeat() time.Duration {
	return time.Duration(s.HeartbeatMillis) * time.Millisecond
}

func (s *Settings) drain() time.Duration { return time.Duration(s.DrainMillis) * time.Millisecond }

// evacuate is how long after the order to evacuate its zone a backend server may still get
// requests.
func (s *Settings) evacuate() time.Duration {
	return time.Duration(cmp.Or(s.EvacuateMillis, s.DrainMillis)) * time.Millisecond
}

// linkBits is the rate of the host's link, in bits per second.
func (s *Settings) linkBits() float64 { return s.LinkMbps * 1e6 }

func (s *Settings) grace() time.Duration { return seconds(s.GraceSeconds) }

// budget is the bound on repeats.
func (s *Settings) budget() attempt.BudgetConfig {
	return attempt.BudgetConfig{
		Ratio:  s.Retry.Ratio,
		Slack:  s.Retry.Slack,
		Window: seconds(s.Retry.WindowSeconds),
		Safety: attempt.DefaultSafety,
		Alone:  max(attempt.DefaultSafety, s.Retry.Alone),
		Draw:   s.lot,
	}
}

// rollouts are the parameters of roll-outs.
func (s *Settings) rollouts() rollout.Config {
	return rollout.Config{ExposeShare: s.Rollout.ExposeShare}
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// ip returns the host's address, from which connections leave.
func (s *Settings) ip() netip.Addr { return netip.MustParseAddrPort(s.Listen.Gate).Addr() }
