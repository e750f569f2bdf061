// Command ochrebay is every process of the scheduler for agent programs, its
// operators' commands, its stand-ins and its tools; docs/operations has a page
// for each component.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/telemetry"
)

// Exit statuses: a usage or settings fault is told apart from a failed run.
const (
	exitFailed   = 1
	exitSettings = 2
)

// runFunc carries out one command until it is done or ctx ends.
type runFunc func(ctx context.Context) error

// commands maps a full command name to what carries it out.
type commands map[string]runFunc

// settingsError marks a fault in flags or files: exit status 2.
type settingsError struct{ error }

func main() {
	app := kingpin.New("ochrebay", "A scheduler for agent programs. `make run` shows the whole path.")
	app.HelpFlag.Short('h')
	registered := commands{}
	registerControl(app, registered)
	registerGateway(app, registered)
	registerLedger(app, registered)
	registerScheduler(app, registered)
	registerSidecar(app, registered)
	registerEmulate(app, registered)
	registerSettings(app, registered)
	registerStatus(app, registered)
	registerTenants(app, registered)
	registerProgram(app, registered)
	registerConfig(app, registered)
	registerPlan(app, registered)
	registerLoad(app, registered)
	registerSimulate(app, registered)
	registerReplay(app, registered)
	registerCapacity(app, registered)
	registerCheckConfiguration(app, registered)
	registerTrace(app, registered)
	registerReport(app, registered)
	registerCompare(app, registered)
	chosen, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "ochrebay: %v; try --help\n", err)
		os.Exit(exitSettings)
	}
	ctx, stop := terminationContext()
	defer stop()
	err = registered[chosen](ctx)
	telemetry.FlushLog()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		var fault settingsError
		if errors.As(err, &fault) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailed)
	}
}

// terminationContext ends at the first SIGTERM or SIGINT, which drains; the
// second one ends the process at once.
func terminationContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(exitFailed)
	}()
	return ctx, cancel
}
