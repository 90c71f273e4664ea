// Package deps pins the modules that the project is built on until each has
// its first user.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/go-kit/log"
	_ "github.com/google/subcommands"
	_ "github.com/google/uuid"
	_ "github.com/invopop/jsonschema"
	_ "github.com/klauspost/compress/zstd"
	_ "github.com/oklog/run"
	_ "github.com/quic-go/quic-go"
	_ "github.com/santhosh-tekuri/jsonschema/v6"
	_ "github.com/shoenig/test"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
