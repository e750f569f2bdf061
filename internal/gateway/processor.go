package gateway

import (
	"math"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

// minMeasurementSpan is the shortest span over which processor utilization is measured. Shorter
// spans reflect single requests rather than the load.
const minMeasurementSpan = 100 * time.Millisecond

// processorLoad measures how much of its processor share, in cores, the process uses.
type processorLoad struct {
	tracker membership.OverloadTracker
	level   uint8
	// measuredAt is the time of the latest measurement, and usedTime the processor time that the
	// process had used by then.
	measuredAt time.Time
	usedTime   time.Duration
	failed     bool
	// utilizationBits holds the decayed mean utilization of the processor share as the bits of a
	// float64, for the metrics.
	utilizationBits atomic.Uint64
}

// overloadLevel returns the gateway's overload level, 0 if its processor share is not configured or
// not measured yet. It must be called only by the goroutine that reports to control.
func (d *Daemon) overloadLevel() uint8 {
	share := d.process.Limits.CPUShare
	now := time.Now()
	span := now.Sub(d.processorLoad.measuredAt)
	if share <= 0 || d.processorLoad.failed || span < minMeasurementSpan {
		return d.processorLoad.level
	}
	usedTime, err := processorTime()
	if err != nil {
		d.processorLoad.failed = true
		telemetry.Warn(d.logger, "processor time not available", "err", err)
		return 0
	}
	previousTime := d.processorLoad.usedTime
	isFirst := d.processorLoad.measuredAt.IsZero()
	d.processorLoad.measuredAt, d.processorLoad.usedTime = now, usedTime
	if isFirst {
		return 0
	}
	level := d.processorLoad.tracker.Observe((usedTime-previousTime).Seconds()/(span.Seconds()*share), clock.NowMs())
	d.processorLoad.utilizationBits.Store(math.Float64bits(d.processorLoad.tracker.Utilization()))
	if level != d.processorLoad.level {
		telemetry.Info(d.logger, "overload level changed", "level", level, "before", d.processorLoad.level, "use", d.processorLoad.tracker.Utilization(), "share", share)
		d.processorLoad.level = level
	}
	return level
}

// processorTime returns the user and system processor time that the process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
