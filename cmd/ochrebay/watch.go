package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

// watchEvery is how often the settings file is looked at: it may change without a
// signal.
const watchEvery = 2 * time.Second

// watchSettings takes the seeds of a settings file that changes while the process
// runs, at SIGHUP or by the file's time; all else needs a restart. A file with a
// fault changes nothing. The function returned ends it.
func watchSettings(ctx context.Context, flags processFlags, logger log.Logger, seeds func([]string)) func() {
	watching, stop := context.WithCancel(ctx)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		ticker := time.NewTicker(watchEvery)
		defer ticker.Stop()
		changed := modified(*flags.file)
		for {
			signalled := false
			select {
			case <-watching.Done():
				return
			case <-hangups:
				signalled = true
			case <-ticker.C:
			}
			if now := modified(*flags.file); signalled || !now.Equal(changed) {
				changed = now
				reload(*flags.file, logger, seeds)
			}
		}
	}()
	return stop
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func reload(file string, logger log.Logger, seeds func([]string)) {
	process, err := config.Load(file, nil)
	if err != nil {
		telemetry.Warn(logger, "settings not reloaded", "err", telemetry.OneLine(err))
		return
	}
	seeds(process.Cluster.Seeds)
	telemetry.Info(logger, "settings reloaded", "seeds", len(process.Cluster.Seeds))
}
