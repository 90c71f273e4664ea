package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

// Schemes of URLs.
const (
	schemeHTTP  = "http"
	schemeHTTPS = "https"
)

// What settings allow, in the words of their faults.
const (
	allowedName      = "1 to 63 lower-case letters, digits and hyphens, first no hyphen"
	allowedAddress   = "an IP number and a port, such as 10.0.0.1:8080"
	allowedAnnounced = "an IP number of this host and a port: other nodes are told this address"
	allowedRemote    = "an IP number and a port of 1 to 65535, such as 10.0.0.1:8080"
	allowedLoopback  = "a loopback IP number and a port, such as 127.0.0.1:8080"
	allowedURL       = "an http or https URL with an IP number, such as http://10.0.0.1:8080"
)

// checker collects the faults of one file.
type checker struct {
	faults strictjson.Faults
}

// namedAddr is an address and where the settings give it.
type namedAddr struct {
	path, addr string
}

func (k *checker) name(path, s string) {
	if !model.ValidName(s) {
		k.faults.AddValue(path, s, allowedName)
	}
}

// address checks an address to listen on; any IP number will do.
func (k *checker) address(path, s string) {
	if _, err := netip.ParseAddrPort(s); err != nil {
		k.faults.AddValue(path, s, allowedAddress)
	}
}

// announced checks an address to listen on that other nodes are told.
func (k *checker) announced(path, s string) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		k.faults.AddValue(path, s, allowedAnnounced)
	}
}

// remote checks an address to dial.
func (k *checker) remote(path, s string) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		k.faults.AddValue(path, s, allowedRemote)
	}
}

func (k *checker) loopback(path, s string) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || !a.Addr().IsLoopback() {
		k.faults.AddValue(path, s, allowedLoopback)
	}
}

// distinct checks that no two listeners share an address. Port 0 is never
// shared.
func (k *checker) distinct(addrs []namedAddr) {
	seen := make(map[netip.AddrPort]string, len(addrs))
	for _, n := range addrs {
		a, err := netip.ParseAddrPort(n.addr)
		if err != nil || a.Port() == 0 {
			continue
		}
		if first, taken := seen[a]; taken {
			k.faults.AddValue(n.path, n.addr, "an address other than that of "+first)
			continue
		}
		seen[a] = n.path
	}
}

func (k *checker) url(path, s string) {
	if !validURL(s) {
		k.faults.AddValue(path, s, allowedURL)
	}
}

func validURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != schemeHTTP && u.Scheme != schemeHTTPS {
		return false
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" || u.ForceQuery {
		return false
	}
	if u.Port() == "" {
		_, err = netip.ParseAddr(u.Hostname())
		return err == nil && !strings.HasSuffix(u.Host, ":")
	}
	a, err := netip.ParseAddrPort(u.Host)
	return err == nil && a.Port() != 0
}

func (k *checker) files(path, ca, certificate, key string) {
	files := []struct{ name, file string }{{"ca", ca}, {"certificate", certificate}, {"key", key}}
	for _, f := range files {
		if f.file == "" {
			k.faults.AddValue(strictjson.Join(path, f.name), f.file, "the path of a file")
		}
	}
}

func (k *checker) duration(path string, v model.Duration, low, high time.Duration) {
	if v.Std() < low || v.Std() > high {
		k.faults.AddValue(path, v, fmt.Sprintf("%v to %v", low, high))
	}
}

func (k *checker) within(path string, v, low, high int) {
	if v < low || v > high {
		k.faults.AddValue(path, v, fmt.Sprintf("%d to %d", low, high))
	}
}

// validPrefix reports whether s is a key prefix: names with a slash after each.
func validPrefix(s string) bool {
	body, ends := strings.CutSuffix(s, "/")
	if !ends || len(s) > maxPrefixBytes {
		return false
	}
	for name := range strings.SplitSeq(body, "/") {
		if !model.ValidName(name) {
			return false
		}
	}
	return true
}
