// Command jacinthgate-demo runs the demonstration: the main job on stand-ins,
// as separate processes on loopback. It leaves nothing running.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jacinthgate/jacinthgate/internal/demo"
	"github.com/jacinthgate/jacinthgate/internal/version"
)

func main() {
	cfg := demo.Config{Out: os.Stdout}
	flag.StringVar(&cfg.Bin, "bin", "bin", "`directory` of the binaries")
	flag.StringVar(&cfg.Documents, "documents", "examples/room-signage", "`directory` of the contracts and services")
	flag.DurationVar(&cfg.Load, "load", 20*time.Second, "how long load is served")
	version.ParseFlags("jacinthgate-demo")
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := demo.Run(ctx, cfg)
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, "jacinthgate-demo:", err)
		os.Exit(1)
	}
}
