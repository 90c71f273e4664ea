// Command jacinthgate-older runs a stand-in for the older system, for tests
// and trials.
package main

import (
	"context"
	"errors"
	"flag"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"

	"github.com/jacinthgate/jacinthgate/internal/standin/older"
	"github.com/jacinthgate/jacinthgate/internal/version"
)

// options are the command's flags.
type options struct {
	listen string
	hold   older.HoldConfig
}

func parse() options {
	var o options
	flag.StringVar(&o.listen, "listen", "127.0.0.1:0", "TCP address to listen on, IP:port")
	flag.StringVar(&o.hold.URL, "hold-url", "", "URL of a shared backend server whose slots are held; empty holds none")
	flag.IntVar(&o.hold.Slots, "hold-slots", 1, "slots held at one time")
	flag.DurationVar(&o.hold.Pause, "hold-pause", 10*time.Millisecond, "time between two requests of one slot")
	version.ParseFlags("jacinthgate-older")
	return o
}

func main() {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	if err := serve(parse(), logger); err != nil {
		_ = level.Error(logger).Log("event", "exit", "err", err)
		os.Exit(1)
	}
}

func serve(o options, logger log.Logger) error {
	l, err := net.Listen("tcp", o.listen)
	if err != nil {
		return err
	}
	_ = logger.Log("event", "listening", "addr", l.Addr())
	server := older.New()
	var g run.Group
	g.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	g.Add(func() error {
		return server.Serve(l)
	}, func(error) {
		_ = l.Close()
		server.Close()
	})
	if o.hold.URL != "" {
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(func() error {
			return older.Hold(ctx, o.hold, func(err error) {
				_ = level.Warn(logger).Log("event", "hold_failed", "err", err)
			})
		}, func(error) { cancel() })
	}
	err = g.Run()
	var signalled run.SignalError
	if errors.As(err, &signalled) {
		_ = logger.Log("event", "stopped", "reason", err, "requests", server.Requests())
		return nil
	}
	return err
}
