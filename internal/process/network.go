package process

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

const (
	// portReserve is the port that a site of processes listens on, at the network's
	// address 0.3, while it runs, so that no other site on the machine uses the same network.
	portReserve = 9200
	// maxNetwork is the largest network number.
	maxNetwork = 254
	// reserveAttempts limits the number of networks tried.
	reserveAttempts = 20
)

// Network is a network of loopback addresses, 127.Number.x.y, reserved
// for one site of processes.
type Network struct {
	// Number is the second byte of its addresses, 1 to 254.
	Number   int
	reserved net.Listener
}

// ReserveNetwork reserves the network with the given number, or a random free one if
// number is 0.
func ReserveNetwork(number int) (*Network, error) {
	var err error
	for range reserveAttempts {
		n := &Network{Number: number}
		if number == 0 {
			n.Number = 1 + rand.IntN(maxNetwork)
		}
		n.reserved, err = net.Listen("tcp", fmt.Sprintf("%s:%d", n.IP(0, 3), portReserve))
		if err == nil {
			return n, nil
		}
		if number != 0 {
			break
		}
	}
	return nil, errors.Wrap(err, "reserve a network")
}

// IP returns one of the network's addresses.
func (n *Network) IP(x, y int) string { return fmt.Sprintf("127.%d.%d.%d", n.Number, x, y) }

// Release ends the reservation. It may be called on nil.
func (n *Network) Release() {
	if n != nil {
		_ = n.reserved.Close() // the listener is no longer needed
	}
}
