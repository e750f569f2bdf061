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

// hangups delivers SIGHUP, which a platform sends when the settings file has changed.
type hangups <-chan os.Signal

// catchHangups is called before a process reads its settings. Invariant: from then on
// SIGHUP never has its default action, which is to end the process; it may come while the
// process still starts and while it drains.
func catchHangups() hangups {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// watchSettings takes the seeds of a settings file that changes while the process
// runs, at SIGHUP or by the file's time; all else needs a restart. A file with a
// fault changes nothing. The function returned ends it.
func watchSettings(signals hangups, flags processFlags, logger log.Logger, seeds func([]string)) func() {
	watching, stop := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(watchEvery)
		defer ticker.Stop()
		changed := modified(*flags.file)
		for {
			signalled := false
			select {
			case <-watching.Done():
				return
			case <-signals:
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
