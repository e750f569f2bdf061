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

// fileCheckInterval is the interval at which the settings file is checked, since it may change
// without a signal.
const fileCheckInterval = 2 * time.Second

// hangupSignals delivers SIGHUP, which a platform sends when the settings file has changed.
type hangupSignals <-chan os.Signal

// catchHangups starts to catch SIGHUP; it is called before a process reads its settings.
// Invariant: from then on SIGHUP never has its default action, which ends the process, even
// when it arrives while the process is starting or draining.
func catchHangups() hangupSignals {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// watchSettingsFile reloads the seeds from the settings file while the process runs, on SIGHUP or
// when the modification time of the file changes. Other settings need a restart. An invalid file
// changes nothing. The returned function stops watching.
func watchSettingsFile(signals hangupSignals, flags processFlags, logger log.Logger, setSeeds func([]string)) func() {
	watching, stop := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(fileCheckInterval)
		defer ticker.Stop()
		lastModified := modificationTime(*flags.file)
		for {
			signalled := false
			select {
			case <-watching.Done():
				return
			case <-signals:
				signalled = true
			case <-ticker.C:
			}
			if current := modificationTime(*flags.file); signalled || !current.Equal(lastModified) {
				lastModified = current
				reloadSeeds(*flags.file, logger, setSeeds)
			}
		}
	}()
	return stop
}

func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func reloadSeeds(file string, logger log.Logger, setSeeds func([]string)) {
	process, err := config.Load(file, nil)
	if err != nil {
		telemetry.Warn(logger, "settings not reloaded", "err", telemetry.OneLine(err))
		return
	}
	setSeeds(process.Cluster.Seeds)
	telemetry.Info(logger, "settings reloaded", "seeds", len(process.Cluster.Seeds))
}
