package settings

import (
	"time"

	"github.com/jacinthgate/jacinthgate/state/model"
)

// Defaults of a node.
const (
	defaultPlatformTimeout  = 2 * time.Second
	defaultPrefix           = "jacinthgate/"
	defaultReloadInterval   = time.Minute
	defaultBytesPerSecond   = 8 << 10
	defaultBurstBytes       = 256 << 10
	defaultPollInterval     = 500 * time.Millisecond
	defaultBeaconInterval   = 2 * time.Second
	defaultMergeInterval    = 50 * time.Millisecond
	defaultDebounce         = 20 * time.Millisecond
	defaultLeaseDuration    = 5 * time.Second
	defaultSuspicionTimeout = 2 * time.Second
	defaultHeaderBytes      = 64 << 10
	defaultMaxPeers         = 32
	defaultConnections      = 1024
	defaultQueue            = 1000
	defaultDrainTimeout     = 30 * time.Second
	defaultNotice           = 2 * time.Second
	defaultLogLevel         = "info"
	defaultCtlTimeout       = 10 * time.Second
)

// DefaultNode returns the settings that hold where a file says nothing. Names
// and addresses have no default.
func DefaultNode() *Node {
	return &Node{
		Platform: Platform{Timeout: model.Duration(defaultPlatformTimeout), Prefix: defaultPrefix},
		Control: Control{
			BytesPerSecond:   defaultBytesPerSecond,
			BurstBytes:       defaultBurstBytes,
			PollInterval:     model.Duration(defaultPollInterval),
			BeaconInterval:   model.Duration(defaultBeaconInterval),
			MergeInterval:    model.Duration(defaultMergeInterval),
			Debounce:         model.Duration(defaultDebounce),
			LeaseDuration:    model.Duration(defaultLeaseDuration),
			SuspicionTimeout: model.Duration(defaultSuspicionTimeout),
		},
		Limits: Limits{
			HeaderBytes: defaultHeaderBytes,
			MaxPeers:    defaultMaxPeers,
			Connections: defaultConnections,
			Queue:       defaultQueue,
		},
		Shutdown: Shutdown{DrainTimeout: model.Duration(defaultDrainTimeout), Notice: model.Duration(defaultNotice)},
		LogLevel: defaultLogLevel,
	}
}

// SetDefaults implements strictjson.Defaulter.
func (t *TLS) SetDefaults() { t.ReloadInterval = model.Duration(defaultReloadInterval) }

// DefaultCtl returns the settings of jacinthgatectl that hold where a file says
// nothing.
func DefaultCtl() *Ctl { return &Ctl{Timeout: model.Duration(defaultCtlTimeout)} }
