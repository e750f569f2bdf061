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

// leastMeasured is the shortest span over which the use of the processor is measured: shorter
// ones say more of single requests than of the load.
const leastMeasured = 100 * time.Millisecond

// processorUse measures how much of its share of a core the process uses.
type processorUse struct {
	heat  membership.OverloadTracker
	level uint8
	// measuredAt and used are when the use was last measured, and the processor time until then.
	measuredAt time.Time
	used       time.Duration
	failed     bool
	// share is the decaying mean of what is used of the share of a core, for the metrics (its bits).
	share atomic.Uint64
}

// busy returns how hot the gateway is, 0 where its share of a core is not known. Only the
// goroutine that reports to control calls it.
func (d *Daemon) busy() uint8 {
	share := d.process.Limits.CPUShare
	now := time.Now()
	span := now.Sub(d.processor.measuredAt)
	if share <= 0 || d.processor.failed || span < leastMeasured {
		return d.processor.level
	}
	used, err := processorTime()
	if err != nil {
		d.processor.failed = true
		telemetry.Warn(d.logger, "processor use unknown", "err", err)
		return 0
	}
	before := d.processor.used
	first := d.processor.measuredAt.IsZero()
	d.processor.measuredAt, d.processor.used = now, used
	if first {
		return 0
	}
	level := d.processor.heat.Observe((used-before).Seconds()/(span.Seconds()*share), clock.NowMs())
	d.processor.share.Store(math.Float64bits(d.processor.heat.Utilization()))
	if level != d.processor.level {
		telemetry.Info(d.logger, "processor heat changed", "level", level, "before", d.processor.level, "use", d.processor.heat.Utilization(), "share", share)
		d.processor.level = level
	}
	return level
}

// processorTime returns the processor time that the process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
