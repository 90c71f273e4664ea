package settings

import (
	"slices"
	"time"

	"github.com/jacinthgate/jacinthgate/state/strictjson"
)

// Bounds of durations.
const (
	minTimeout     = 10 * time.Millisecond
	maxTimeout     = time.Minute
	minCtlTimeout  = 100 * time.Millisecond
	maxCtlTimeout  = 10 * time.Minute
	minReload      = time.Second
	maxReload      = 24 * time.Hour
	minInterval    = 10 * time.Millisecond
	maxInterval    = time.Minute
	maxDebounce    = 5 * time.Second
	maxMerge       = time.Second
	minLease       = 100 * time.Millisecond
	maxLease       = 5 * time.Minute
	maxDrain       = time.Hour
	maxNotice      = time.Minute
	leaseToPoll    = 2 // least ratio of the lease to the poll interval
	maxSeeds       = 64
	maxPrefixBytes = 128
)

// Bounds of numbers.
const (
	minBytesPerSecond = 1 << 10
	minBurstBytes     = 256 << 10
	maxControlBytes   = 1 << 30
	minHeaderBytes    = 4 << 10
	maxHeaderBytes    = 1 << 20
	minPeers          = 2
	maxPeers          = 256
	maxConnections    = 65536
	maxQueue          = 10_000
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Validate returns all faults as a strictjson.Faults, nil when there is none.
func (n *Node) Validate() error { return n.faults().Err() }

func (n *Node) faults() strictjson.Faults {
	k := new(checker)
	k.name("node", string(n.Node))
	k.name("zone", string(n.Zone))
	k.name("region", string(n.Region))
	k.listen(n)
	k.advertise(&n.Advertise)
	k.seeds(n.Seeds)
	k.platform(&n.Platform)
	k.security(n)
	if n.Older != nil {
		k.remote("older.address", n.Older.Address)
	}
	k.control(&n.Control)
	k.limits(&n.Limits)
	k.duration("shutdown.drainTimeout", n.Shutdown.DrainTimeout, 0, maxDrain)
	k.duration("shutdown.notice", n.Shutdown.Notice, 0, maxNotice)
	if !slices.Contains(logLevels, n.LogLevel) {
		k.faults.AddValue("logLevel", n.LogLevel, "debug, info, warn, error")
	}
	return k.faults
}

func (k *checker) advertise(a *Advertise) {
	if a.Gate != "" {
		k.remote("advertise.gate", a.Gate)
	}
	if a.Peer != "" {
		k.remote("advertise.peer", a.Peer)
	}
}

// listen checks the addresses by themselves and that no two TCP listeners
// share one.
func (k *checker) listen(n *Node) {
	k.address("listen.caller", n.Listen.Caller)
	k.announced("listen.gate", n.Listen.Gate)
	k.announced("listen.peer", n.Listen.Peer)
	k.loopback("listen.local", n.Listen.Local)
	tcp := []namedAddr{
		{"listen.caller", n.Listen.Caller}, {"listen.gate", n.Listen.Gate}, {"listen.local", n.Listen.Local},
	}
	if n.Operator != "" {
		k.address("operator", n.Operator)
		tcp = append(tcp, namedAddr{"operator", n.Operator})
	}
	k.distinct(tcp)
}

func (k *checker) seeds(seeds []string) {
	if len(seeds) > maxSeeds {
		k.faults.AddValue("seeds", len(seeds), "at most 64 addresses")
	}
	seen := make(map[string]bool, len(seeds))
	for i, seed := range seeds {
		path := strictjson.Index("seeds", i)
		if seen[seed] {
			k.faults.AddValue(path, seed, "an address that is not given before")
		}
		seen[seed] = true
		k.remote(path, seed)
	}
}

func (k *checker) platform(p *Platform) {
	k.url("platform.table", p.Table)
	k.url("platform.objects", p.Objects)
	k.duration("platform.timeout", p.Timeout, minTimeout, maxTimeout)
	if !validPrefix(p.Prefix) {
		k.faults.AddValue("platform.prefix", p.Prefix, "names of lower-case letters, digits and hyphens, each with a slash after it")
	}
}

// security checks that a node without certificates says so.
func (k *checker) security(n *Node) {
	switch {
	case n.TLS == nil && !n.Insecure:
		k.faults.Add("tls", "nothing", "certificates, or insecure set to true")
	case n.TLS != nil && n.Insecure:
		k.faults.AddValue("insecure", true, "false, where tls is given")
	}
	if n.TLS != nil {
		k.files("tls", n.TLS.CA, n.TLS.Certificate, n.TLS.Key)
		k.duration("tls.reloadInterval", n.TLS.ReloadInterval, minReload, maxReload)
	}
}

func (k *checker) control(c *Control) {
	k.within("control.bytesPerSecond", c.BytesPerSecond, minBytesPerSecond, maxControlBytes)
	k.within("control.burstBytes", c.BurstBytes, minBurstBytes, maxControlBytes)
	k.duration("control.pollInterval", c.PollInterval, minInterval, maxInterval)
	k.duration("control.beaconInterval", c.BeaconInterval, minInterval, maxInterval)
	k.duration("control.mergeInterval", c.MergeInterval, 0, maxMerge)
	k.duration("control.debounce", c.Debounce, 0, maxDebounce)
	k.duration("control.leaseDuration", c.LeaseDuration, max(minLease, leaseToPoll*c.PollInterval.Std()), maxLease)
	k.duration("control.suspicionTimeout", c.SuspicionTimeout, max(minLease, c.BeaconInterval.Std()), maxLease)
}

func (k *checker) limits(l *Limits) {
	k.within("limits.headerBytes", l.HeaderBytes, minHeaderBytes, maxHeaderBytes)
	k.within("limits.maxPeers", l.MaxPeers, minPeers, maxPeers)
	k.within("limits.connections", l.Connections, 1, maxConnections)
	k.within("limits.queue", l.Queue, 1, maxQueue)
}
