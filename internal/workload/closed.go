package workload

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/program"
)

// OverheadReport is what a closed loop of callers measured. Times are milliseconds.
type OverheadReport struct {
	Callers        int     `json:"callers"`
	Calls          int64   `json:"calls"`
	Failed         int64   `json:"failed"`
	CallsPerSecond float64 `json:"calls_per_second"`
	P50            float64 `json:"p50_ms"`
	P99            float64 `json:"p99_ms"`
	// DirectP50 and DirectP99 are the same calls sent to an engine directly.
	DirectP50 float64 `json:"direct_p50_ms"`
	DirectP99 float64 `json:"direct_p99_ms"`
	// EntriesPerSecond and EntriesPerSync are of the busiest control process.
	EntriesPerSecond float64 `json:"entries_per_second"`
	EntriesPerSync   float64 `json:"entries_per_sync"`
}

const (
	turnsPerProgram = 50
	closedMaxMicros = 60_000_000
	closedDigits    = 3
)

// closedLoop runs callers that each call again as soon as they are answered.
func closedLoop(ctx context.Context, callers int, length time.Duration, call func(caller, number int) error) (*hdrhistogram.Histogram, int64) {
	total := hdrhistogram.New(1, closedMaxMicros, closedDigits)
	var failed int64
	var mutex sync.Mutex
	var group sync.WaitGroup
	bounded, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	for caller := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			own := hdrhistogram.New(1, closedMaxMicros, closedDigits)
			var bad int64
			for number := 0; bounded.Err() == nil; number++ {
				begun := time.Now()
				if call(caller, number) != nil {
					bad++
					continue
				}
				_ = own.RecordValue(time.Since(begun).Microseconds())
			}
			mutex.Lock()
			defer mutex.Unlock()
			total.Merge(own)
			failed += bad
		}()
	}
	group.Wait()
	return total, failed
}

// MeasureOverhead sends calls through a sidecar and, for comparison, to an engine
// directly. controls are the HTTP addresses of the control processes.
func (d *Driver) MeasureOverhead(ctx context.Context, service, model, engineAddress string, controls []string, callers int, length time.Duration) (OverheadReport, error) {
	message := []program.Message{{Role: "user", Content: Text("path", 30, 8)}}
	direct := engine.NewClient()
	directTimes, _ := closedLoop(ctx, callers, length/4, func(int, int) error {
		return direct.Complete(ctx, engineAddress, engine.CompletionRequest{Model: model, Messages: message}, func(string) {}).Err
	})
	programs := make([]string, callers)
	before, err := controlCounts(controls)
	if err != nil {
		return OverheadReport{}, err
	}
	begun := time.Now()
	times, failed := closedLoop(ctx, callers, length, func(caller, number int) error {
		if number%turnsPerProgram == 0 {
			programs[caller] = ""
		}
		reply, err := d.Sidecars[caller%len(d.Sidecars)].Do(ctx, Call{
			Service: service, Program: programs[caller], Messages: message, EndsProgram: number%turnsPerProgram == turnsPerProgram-1,
		})
		if err != nil {
			return err
		}
		if reply.Error != nil {
			return reply.Error
		}
		programs[caller] = reply.Program
		return nil
	})
	seconds := time.Since(begun).Seconds()
	after, err := controlCounts(controls)
	if err != nil {
		return OverheadReport{}, err
	}
	report := OverheadReport{
		Callers: callers, Calls: times.TotalCount(), Failed: failed, CallsPerSecond: float64(times.TotalCount()) / seconds,
		P50: float64(times.ValueAtQuantile(50)) / 1000, P99: float64(times.ValueAtQuantile(99)) / 1000,
		DirectP50: float64(directTimes.ValueAtQuantile(50)) / 1000, DirectP99: float64(directTimes.ValueAtQuantile(99)) / 1000,
	}
	for position := range before {
		entries := after[position].entries - before[position].entries
		syncs := after[position].syncs - before[position].syncs
		report.EntriesPerSecond = max(report.EntriesPerSecond, entries/seconds)
		if syncs > 0 {
			report.EntriesPerSync = max(report.EntriesPerSync, entries/syncs)
		}
	}
	return report, nil
}

// Print writes the report.
func (r OverheadReport) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "%d callers: %d calls, %d failed, %.0f calls/s\n", r.Callers, r.Calls, r.Failed, r.CallsPerSecond)
	_, _ = fmt.Fprintf(out, "  through ochrebay   p50 %7.3f ms   p99 %7.3f ms\n", r.P50, r.P99)
	_, _ = fmt.Fprintf(out, "  engine alone       p50 %7.3f ms   p99 %7.3f ms\n", r.DirectP50, r.DirectP99)
	_, _ = fmt.Fprintf(out, "  added              p50 %7.3f ms   p99 %7.3f ms\n", r.P50-r.DirectP50, r.P99-r.DirectP99)
	_, _ = fmt.Fprintf(out, "  ledger             %.0f entries/s, %.2f entries a sync\n", r.EntriesPerSecond, r.EntriesPerSync)
}

type controlCount struct {
	entries float64
	syncs   float64
}

// controlCounts reads the counters of control processes from their metrics.
func controlCounts(addresses []string) ([]controlCount, error) {
	var counts []controlCount
	for _, address := range addresses {
		response, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			return nil, err
		}
		var count controlCount
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			name, value, _ := strings.Cut(scanner.Text(), " ")
			number, _ := strconv.ParseFloat(value, 64)
			switch name {
			case "ochrebay_entries_applied":
				count.entries = number
			case "ochrebay_store_syncs":
				count.syncs = number
			}
		}
		_ = response.Body.Close()
		counts = append(counts, count)
	}
	return counts, nil
}
