// Command jacinthgate-backend runs a stand-in for a backend server, for tests
// and trials.
package main

import (
	"context"
	"errors"
	"flag"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"

	"github.com/jacinthgate/jacinthgate/internal/standin/backend"
	"github.com/jacinthgate/jacinthgate/internal/version"
)

// options are the command's flags.
type options struct {
	listen      string
	node        string
	service     string
	name        string
	slots       int
	connections int
	interval    time.Duration
	grace       time.Duration
	faults      backend.Faults
}

func parse() options {
	var o options
	flag.StringVar(&o.listen, "listen", "127.0.0.1:0", "TCP address to listen on, IP:port")
	flag.StringVar(&o.node, "node", "", "base URL of the host's node; empty announces to none")
	flag.StringVar(&o.service, "service", "", "service offered")
	flag.StringVar(&o.name, "name", "backend", "name sent with each answer")
	flag.IntVar(&o.slots, "slots", 10, "requests run at one time")
	flag.IntVar(&o.connections, "connections", 110, "connections accepted")
	flag.DurationVar(&o.interval, "announce", 2*time.Second, "time between announcements")
	flag.DurationVar(&o.grace, "grace", 10*time.Second, "time given to requests in flight at shutdown")
	flag.Float64Var(&o.faults.ServiceMillis, "service-ms", 0, "mean service time in milliseconds")
	flag.Float64Var(&o.faults.SpreadMillis, "spread-ms", 0, "spread of the service time in milliseconds")
	flag.IntVar(&o.faults.ColdStartMillis, "cold-ms", 0, "length of the cold start in milliseconds")
	version.ParseFlags("jacinthgate-backend")
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
	_ = logger.Log("event", "listening", "addr", l.Addr(), "service", o.service)
	server := backend.New(backend.Config{Name: o.name, Slots: o.slots, Faults: o.faults})
	a := backend.NewAnnouncer(backend.AnnounceConfig{
		NodeURL: o.node, Service: o.service, Addr: l.Addr().String(),
		Slots: o.slots, Connections: o.connections, Interval: o.interval,
	})
	var g run.Group
	g.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	// Interrupts run in the order of Add: the node must stop sending before
	// the server stops taking connections.
	if o.node != "" {
		addAnnouncer(&g, a, logger)
	}
	addServer(&g, backend.LimitListener(l, o.connections), server, o.grace)
	err = g.Run()
	if o.node != "" {
		_ = a.Withdraw(context.Background()) // without it the announcement expires
	}
	var signalled run.SignalError
	if errors.As(err, &signalled) {
		_ = logger.Log("event", "stopped", "reason", err)
		return nil
	}
	return err
}

func addServer(g *run.Group, l net.Listener, h http.Handler, grace time.Duration) {
	s := &http.Server{Handler: h}
	g.Add(func() error {
		return s.Serve(l)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		_ = s.Shutdown(ctx) // what is still in flight after the grace is cut
	})
}

func addAnnouncer(g *run.Group, a *backend.Announcer, logger log.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		return a.Run(ctx, func(err error) { _ = level.Warn(logger).Log("event", "announce_failed", "err", err) })
	}, func(error) {
		if err := a.Drain(context.Background()); err != nil {
			_ = level.Warn(logger).Log("event", "drain_failed", "err", err)
		}
		cancel()
	})
}
