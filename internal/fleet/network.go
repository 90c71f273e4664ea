package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

const (
	// portReserve is listened on, at the network's address 0.3, while a fleet
	// runs, so that no other fleet on the machine takes the same network.
	portReserve = 9200
	// maxNetwork is the largest network.
	maxNetwork = 254
	// reserveAttempts bounds the networks that are tried.
	reserveAttempts = 20
)

// reserve takes the fleet's network, or a free one where none is named.
func (f *Fleet) reserve() error {
	var err error
	named := f.cfg.Network != 0
	for range reserveAttempts {
		if !named {
			f.cfg.Network = 1 + rand.IntN(maxNetwork)
		}
		f.reserved, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.3:%d", f.cfg.Network, portReserve))
		if err == nil || named {
			break
		}
	}
	return errors.Wrap(err, "reserve a network")
}

// release gives the network back.
func (f *Fleet) release() {
	if f.reserved != nil {
		_ = f.reserved.Close() // nothing is left to lose
	}
}
