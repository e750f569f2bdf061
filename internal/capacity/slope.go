// Package capacity measures how state size, bytes on the wire, memory and time grow with,
// for example, the number of programs or tenants. It uses the production state machines and
// store. The results are published in docs/CAPACITY.md, together with the resource use of
// fleets, which is measured on complete processes and not by this package.
package capacity

import (
	"math"
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the value Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// LinearFit is a linear regression over measurements at several sizes.
type LinearFit struct {
	Name   string  `json:"name"`
	Role   string  `json:"role"`
	Driver string  `json:"driver"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	// Slope is the increase of Y per unit of X, and Intercept the value of Y at X = 0.
	Slope     float64 `json:"per_driver"`
	Intercept float64 `json:"base"`
	// R2 is the coefficient of determination, and Residual the largest absolute
	// residual as a fraction of the largest absolute Y.
	R2       float64 `json:"r2"`
	Residual float64 `json:"residual"`
}

// minGoodR2 is the smallest R2 of a fit of quality "good".
const minGoodR2 = 0.95

// newLinearFit fits a line to points.
func newLinearFit(name, role, driver, unit string, points []Point) LinearFit {
	fit := LinearFit{Name: name, Role: role, Driver: driver, Unit: unit, Points: points}
	xs := make([]float64, len(points))
	ys := make([]float64, len(points))
	largest := 0.0
	for position, point := range points {
		xs[position] = point.X
		ys[position] = point.Y
		largest = max(largest, math.Abs(point.Y))
	}
	fit.Intercept, fit.Slope = stat.LinearRegression(xs, ys, nil, false)
	fit.R2 = stat.RSquared(xs, ys, nil, fit.Intercept, fit.Slope)
	if math.IsNaN(fit.R2) {
		// R2 is undefined if Y does not vary.
		fit.R2 = 0
	}
	for position := range points {
		residual := math.Abs(ys[position] - fit.predict(xs[position]))
		if largest > 0 {
			fit.Residual = max(fit.Residual, residual/largest)
		}
	}
	return fit
}

func (f LinearFit) predict(x float64) float64 { return f.Intercept + f.Slope*x }

// Quality classifies the fit: "good" for a high R2, "flat" if Y hardly varies, so that
// R2 is not meaningful, and "bad" otherwise.
func (f LinearFit) Quality() string {
	switch {
	case f.R2 >= minGoodR2:
		return "good"
	case f.isFlat():
		return "flat"
	default:
		return "bad"
	}
}

// isFlat reports whether Y varies by at most maxRelativeRange of its largest value.
func (f LinearFit) isFlat() bool {
	low, high := math.Inf(1), math.Inf(-1)
	for _, point := range f.Points {
		low = min(low, point.Y)
		high = max(high, point.Y)
	}
	const maxRelativeRange = 0.15
	return high-low <= maxRelativeRange*math.Abs(high)
}

// Measurement is one measured value of a run.
type Measurement struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// RunResult holds the measurements of one run at a fixed size.
type RunResult struct {
	Name         string        `json:"name"`
	Measurements []Measurement `json:"values"`
	// HeapMB is the live Go heap after the run in MiB, and CPUSeconds the CPU time
	// that the process used during the run.
	HeapMB     float64 `json:"heap_mb"`
	CPUSeconds float64 `json:"processor_seconds"`
}

// Report holds all measurements.
type Report struct {
	Machine string      `json:"machine"`
	Quick   bool        `json:"quick"`
	Fits    []LinearFit `json:"slopes"`
	Runs    []RunResult `json:"runs"`
	// PeakMemoryMB is the peak resident memory of the process in MiB.
	PeakMemoryMB float64 `json:"peak_mb"`
}

const mebibyte = 1 << 20

// heapBytes returns the size of the live heap after two garbage collections.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func peakMemoryMB() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	// Linux reports Maxrss in KiB.
	return float64(usage.Maxrss) / 1024
}

// measureRun executes one run and records its CPU time and the heap after it.
func measureRun(name string, measure func() ([]Measurement, error)) (RunResult, error) {
	startCPUTime := processCPUTime()
	values, err := measure()
	return RunResult{
		Name: name, Measurements: values, HeapMB: heapBytes() / mebibyte, CPUSeconds: (processCPUTime() - startCPUTime).Seconds(),
	}, err
}
