package load

import (
	"net/netip"
	"strings"
)

// ParseAddresses reads a comma-separated list of loopback addresses, IP:port.
// It returns an *AddressError for anything else, so that a trial can't load
// another machine.
func ParseAddresses(list string) ([]string, error) {
	var out []string
	for _, s := range strings.Split(list, ",") {
		s = strings.TrimSpace(s)
		if s == "" {
			continue
		}
		a, err := netip.ParseAddrPort(s)
		if err != nil || !a.Addr().Unmap().IsLoopback() || a.Port() == 0 {
			return nil, &AddressError{Found: s}
		}
		out = append(out, s)
	}
	return out, nil
}

// AddressError reports an address that is not a loopback IP with a port.
type AddressError struct {
	// Found is the address.
	Found string
}

// Error implements error.
func (e *AddressError) Error() string {
	return "address " + e.Found + ": want a loopback IP and a port, such as 127.0.0.1:8080"
}
