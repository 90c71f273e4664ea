// Command jacinthgate-platform is a stand-in of the platform's table service
// and object store for demonstrations and tests. It keeps everything in memory
// and is no part of a real site.
package main

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/jacinthgate/jacinthgate/internal/version"
	"github.com/jacinthgate/jacinthgate/platform/platformtest"
)

const (
	// shutdownTimeout bounds the wait for calls in progress.
	shutdownTimeout = 5 * time.Second
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
)

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "address to listen on, IP:port")
	seed := flag.Uint64("seed", 1, "seed of the random faults")
	version.ParseFlags("jacinthgate-platform")
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stdout))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC)
	if err := serve(logger, *listen, *seed); err != nil {
		logger.Log("event", "failed", "err", err)
		os.Exit(1)
	}
}

// serve runs until a signal or a failure of the server.
func serve(logger log.Logger, addr string, seed uint64) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	store := platformtest.New(platformtest.DefaultFaults(), seed)
	server := &http.Server{Handler: store, ReadHeaderTimeout: headerTimeout}

	var group run.Group
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	group.Add(func() error {
		logger.Log("event", "listening", "addr", ln.Addr())
		return server.Serve(ln)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			logger.Log("event", "shutdown_failed", "err", err)
		}
	})
	err = group.Run()
	if errors.Is(err, run.ErrSignal) || errors.Is(err, http.ErrServerClosed) {
		logger.Log("event", "stopped", "cause", err)
		return nil
	}
	return err
}
