// Command ochrebay provides all processes of the scheduler for agent programs, the commands
// for operators, the emulators and the tools; docs/operations has a page for each component.
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

// Exit statuses distinguish errors in flags or settings from failed runs.
const (
	exitFailed   = 1
	exitSettings = 2
)

// runFunc runs one command until it is done or ctx ends.
type runFunc func(ctx context.Context) error

// commands maps full command names to the functions that run them.
type commands map[string]runFunc

// settingsError marks an error in flags or settings files, which leads to exit status 2.
type settingsError struct{ error }

func main() {
	app := kingpin.New("ochrebay", "A scheduler for agent programs. `make run` runs a complete example fleet.")
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
	registerCheckConfig(app, registered)
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
		var invalid settingsError
		if errors.As(err, &invalid) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailed)
	}
}

// terminationContext returns a context that ends at the first SIGTERM or SIGINT, so that the
// process drains; the second signal ends the process immediately.
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
