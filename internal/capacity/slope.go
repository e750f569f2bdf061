// Package capacity measures how state, bytes and memory grow with what drives them, on
// the real state machines and the real store, for docs/CAPACITY.md. What a
// fleet of processes costs is measured with whole processes and stands on that page too.
package capacity

import (
	"math"
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: Y at a size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// LinearFit is a straight line through measurements at several sizes.
type LinearFit struct {
	Name   string  `json:"name"`
	Role   string  `json:"role"`
	Driver string  `json:"driver"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	// Slope is Y per unit of X, Base the Y at X = 0.
	Slope     float64 `json:"per_driver"`
	Intercept float64 `json:"base"`
	// R2 is the share of the variation that the line explains, and Residual the
	// largest distance of a point from it, as a share of the largest Y.
	R2       float64 `json:"r2"`
	Residual float64 `json:"residual"`
}

// goodFit is the least R2 of a slope that is called good.
const goodFit = 0.95

// fit computes the line of a slope.
func fit(name, role, driver, unit string, points []Point) LinearFit {
	slope := LinearFit{Name: name, Role: role, Driver: driver, Unit: unit, Points: points}
	xs := make([]float64, len(points))
	ys := make([]float64, len(points))
	largest := 0.0
	for position, point := range points {
		xs[position] = point.X
		ys[position] = point.Y
		largest = max(largest, math.Abs(point.Y))
	}
	slope.Intercept, slope.Slope = stat.LinearRegression(xs, ys, nil, false)
	slope.R2 = stat.RSquared(xs, ys, nil, slope.Intercept, slope.Slope)
	if math.IsNaN(slope.R2) {
		// Nothing varies, so there is nothing to explain.
		slope.R2 = 0
	}
	for position := range points {
		distance := math.Abs(ys[position] - slope.at(xs[position]))
		if largest > 0 {
			slope.Residual = max(slope.Residual, distance/largest)
		}
	}
	return slope
}

func (s LinearFit) at(x float64) float64 { return s.Intercept + s.Slope*x }

// Quality says whether the line may be relied on. A line that doesn't rise has
// nothing to explain.
func (s LinearFit) Quality() string {
	switch {
	case s.R2 >= goodFit:
		return "good"
	case s.isFlat():
		return "flat"
	default:
		return "bad"
	}
}

// isFlat reports whether Y varies little over the range.
func (s LinearFit) isFlat() bool {
	low, high := math.Inf(1), math.Inf(-1)
	for _, point := range s.Points {
		low = min(low, point.Y)
		high = max(high, point.Y)
	}
	const little = 0.15
	return high-low <= little*math.Abs(high)
}

// Measurement is one figure of a run.
type Measurement struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// RunResult is one run at a fixed size.
type RunResult struct {
	Name         string        `json:"name"`
	Measurements []Measurement `json:"values"`
	// HeapMB is the Go heap after the run, and ProcessorSeconds what the process
	// used in it.
	HeapMB     float64 `json:"heap_mb"`
	CPUSeconds float64 `json:"processor_seconds"`
}

// Report is everything measured.
type Report struct {
	Machine string      `json:"machine"`
	Quick   bool        `json:"quick"`
	Fits    []LinearFit `json:"slopes"`
	Runs    []RunResult `json:"runs"`
	// PeakMemoryMB is the most memory that the process ever held.
	PeakMemoryMB float64 `json:"peak_mb"`
}

const megabyte = 1 << 20

// heapBytes is the live heap after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func peakMB() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Maxrss) / 1024
}

// run carries out one run and adds its cost.
func run(name string, body func() ([]Measurement, error)) (RunResult, error) {
	begun := processorTime()
	values, err := body()
	return RunResult{
		Name: name, Measurements: values, HeapMB: heapBytes() / megabyte, CPUSeconds: (processorTime() - begun).Seconds(),
	}, err
}
