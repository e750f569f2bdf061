package workload

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxHistogramMicros         = int64(time.Hour / time.Microsecond)
	histogramSignificantDigits = 3
)

// Quantiles holds quantiles of a latency distribution in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// latencyHistogram records latencies in microseconds.
type latencyHistogram struct {
	values *hdrhistogram.Histogram
}

func newHistogram() latencyHistogram {
	return latencyHistogram{hdrhistogram.New(1, maxHistogramMicros, histogramSignificantDigits)}
}

func (h latencyHistogram) add(ms float64) {
	_ = h.values.RecordValue(max(1, min(maxHistogramMicros, int64(ms*1000))))
}

func (h latencyHistogram) quantiles() Quantiles {
	at := func(percent float64) float64 { return float64(h.values.ValueAtQuantile(percent)) / 1000 }
	return Quantiles{Count: h.values.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.values.Max()) / 1000}
}

// ServiceReport summarizes the programs of one service.
type ServiceReport struct {
	Service          string    `json:"service"`
	Programs         int       `json:"programs"`
	Completed        int       `json:"ended"`
	Failed           int       `json:"refused"`
	Latency          Quantiles `json:"latency"`
	TimeToFirstToken Quantiles `json:"first_token"`
	ChunkGaps        Quantiles `json:"between_tokens"`
}

// Report summarizes a load run.
type Report struct {
	Programs       int             `json:"programs"`
	Completed      int             `json:"ended"`
	Calls          int             `json:"calls"`
	Retries        int             `json:"resent"`
	PromptTokens   int64           `json:"prompt_tokens"`
	CachedTokens   int64           `json:"cached_tokens"`
	OutputTokens   int64           `json:"output_tokens"`
	Services       []ServiceReport `json:"services"`
	Errors         map[string]int  `json:"errors"`
	Violations     []string        `json:"violations"`
	violationCount int
}

const maxPrintedViolations = 20

// NewReport summarizes outcomes. Program latency covers completed programs only;
// failed programs are counted separately.
func NewReport(outcomes []ProgramOutcome, violations []string) Report {
	report := Report{Errors: map[string]int{}, violationCount: len(violations), Violations: violations}
	byService := map[string][]ProgramOutcome{}
	for _, outcome := range outcomes {
		report.Programs++
		report.Calls += outcome.Calls
		report.Retries += outcome.Retries
		report.PromptTokens += outcome.PromptTokens
		report.CachedTokens += outcome.CachedTokens
		report.OutputTokens += outcome.OutputTokens
		if outcome.Err == nil {
			report.Completed++
		} else {
			report.Errors[outcome.Err.Code.String()]++
		}
		byService[outcome.Program.Service] = append(byService[outcome.Program.Service], outcome)
	}
	for service, group := range byService {
		report.Services = append(report.Services, newServiceReport(service, group))
	}
	slices.SortFunc(report.Services, func(a, b ServiceReport) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return report
}

func newServiceReport(service string, outcomes []ProgramOutcome) ServiceReport {
	latency, timeToFirstToken, chunkGaps := newHistogram(), newHistogram(), newHistogram()
	report := ServiceReport{Service: service, Programs: len(outcomes)}
	for _, outcome := range outcomes {
		for _, wait := range outcome.TimesToFirstToken {
			timeToFirstToken.add(float64(wait.Microseconds()) / 1000)
		}
		for _, gap := range outcome.ChunkGaps {
			chunkGaps.add(float64(gap.Microseconds()) / 1000)
		}
		if outcome.Err != nil {
			report.Failed++
			continue
		}
		report.Completed++
		latency.add(outcome.LatencyMs)
	}
	report.Latency = latency.quantiles()
	report.TimeToFirstToken = timeToFirstToken.quantiles()
	report.ChunkGaps = chunkGaps.quantiles()
	return report
}

// Print writes the report as a table.
func (r Report) Print(writer io.Writer) {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	printLine := func(format string, arguments ...any) { _, _ = fmt.Fprintf(table, format+"\n", arguments...) }
	printLine("programs %d\tended %d\tcalls %d\tresent %d", r.Programs, r.Completed, r.Calls, r.Retries)
	printLine("prompt tokens %d\tof which cached %d\tgenerated %d", r.PromptTokens, r.CachedTokens, r.OutputTokens)
	printLine("")
	printLine("SERVICE\tPROGRAMS\tENDED\tREFUSED\tLATENCY p50\tp95\tp99 ms\tFIRST TOKEN p50\tp95 ms\tBETWEEN p50\tp95 ms")
	for _, s := range r.Services {
		printLine("%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f", s.Service, s.Programs, s.Completed, s.Failed,
			s.Latency.P50, s.Latency.P95, s.Latency.P99, s.TimeToFirstToken.P50, s.TimeToFirstToken.P95, s.ChunkGaps.P50, s.ChunkGaps.P95)
	}
	for name, count := range r.Errors {
		printLine("error %s\t%d", name, count)
	}
	for position, violation := range r.Violations {
		if position == maxPrintedViolations {
			printLine("... and %d more", r.violationCount-maxPrintedViolations)
			break
		}
		printLine("violation: %s", violation)
	}
	printLine("load: %d programs, %d calls, %d violations", r.Programs, r.Calls, r.violationCount)
	_ = table.Flush()
}
