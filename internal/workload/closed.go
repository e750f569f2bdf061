package workload

import (
	"bufio"
	"context"
	"errors"
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

// OverheadReport holds the measurements of a closed loop of callers. Latencies are
// in milliseconds.
type OverheadReport struct {
	Callers        int     `json:"callers"`
	Calls          int64   `json:"calls"`
	Failed         int64   `json:"failed"`
	CallsPerSecond float64 `json:"calls_per_second"`
	P50            float64 `json:"p50_ms"`
	P99            float64 `json:"p99_ms"`
	// DirectP50 and DirectP99 are the latencies of the same calls sent directly to
	// an engine.
	DirectP50 float64 `json:"direct_p50_ms"`
	DirectP99 float64 `json:"direct_p99_ms"`
	// EntriesPerSecond is the number of log entries applied per second, and
	// EntriesPerSync the number applied per store sync. Each is the maximum over the
	// control processes.
	EntriesPerSecond float64 `json:"entries_per_second"`
	EntriesPerSync   float64 `json:"entries_per_sync"`
}

const (
	turnsPerProgram   = 50
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

var errTruncatedReply = errors.New("workload: the stream ended before the [DONE] event")

// runClosedLoop runs concurrent callers that each send their next call as soon as the
// previous one returns. It returns the latencies of the successful calls in
// microseconds and the number of failed calls.
func runClosedLoop(ctx context.Context, callers int, duration time.Duration, call func(caller, callNumber int) error) (*hdrhistogram.Histogram, int64) {
	latency := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	var failed int64
	var mutex sync.Mutex
	var waitGroup sync.WaitGroup
	loopContext, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	for caller := range callers {
		waitGroup.Add(1)
		go func() {
			defer waitGroup.Done()
			callerLatency := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
			var callerFailed int64
			for number := 0; loopContext.Err() == nil; number++ {
				sentAt := time.Now()
				if call(caller, number) != nil {
					callerFailed++
					continue
				}
				_ = callerLatency.RecordValue(time.Since(sentAt).Microseconds())
			}
			mutex.Lock()
			defer mutex.Unlock()
			latency.Merge(callerLatency)
			failed += callerFailed
		}()
	}
	waitGroup.Wait()
	return latency, failed
}

// MeasureOverhead sends calls through the sidecars for the given duration and, for
// comparison, directly to an engine for a quarter of it. controlAddresses are the HTTP
// addresses of the control processes.
func (d *Driver) MeasureOverhead(ctx context.Context, service, model, engineAddress string, controlAddresses []string, callers int, duration time.Duration) (OverheadReport, error) {
	messages := []program.Message{{Role: "user", Content: Text("path", 30, 8)}}
	engineClient := engine.NewClient()
	directLatency, _ := runClosedLoop(ctx, callers, duration/4, func(int, int) error {
		return engineClient.Complete(ctx, engineAddress, engine.CompletionRequest{Model: model, Messages: messages}, func(string) {}).Err
	})
	programs := make([]string, callers)
	before, err := readControlCounters(controlAddresses)
	if err != nil {
		return OverheadReport{}, err
	}
	startedAt := time.Now()
	latency, failed := runClosedLoop(ctx, callers, duration, func(caller, callNumber int) error {
		if callNumber%turnsPerProgram == 0 {
			programs[caller] = ""
		}
		reply, err := d.Sidecars[caller%len(d.Sidecars)].Do(ctx, Call{
			Service: service, Program: programs[caller], Messages: messages, EndsProgram: callNumber%turnsPerProgram == turnsPerProgram-1,
		})
		if err != nil {
			return err
		}
		if reply.Error != nil {
			return reply.Error
		}
		if reply.IsTruncated {
			return errTruncatedReply
		}
		programs[caller] = reply.Program
		return nil
	})
	seconds := time.Since(startedAt).Seconds()
	after, err := readControlCounters(controlAddresses)
	if err != nil {
		return OverheadReport{}, err
	}
	report := OverheadReport{
		Callers: callers, Calls: latency.TotalCount(), Failed: failed, CallsPerSecond: float64(latency.TotalCount()) / seconds,
		P50: float64(latency.ValueAtQuantile(50)) / 1000, P99: float64(latency.ValueAtQuantile(99)) / 1000,
		DirectP50: float64(directLatency.ValueAtQuantile(50)) / 1000, DirectP99: float64(directLatency.ValueAtQuantile(99)) / 1000,
	}
	for position := range before {
		entries := after[position].appliedEntries - before[position].appliedEntries
		syncs := after[position].storeSyncs - before[position].storeSyncs
		report.EntriesPerSecond = max(report.EntriesPerSecond, entries/seconds)
		if syncs > 0 {
			report.EntriesPerSync = max(report.EntriesPerSync, entries/syncs)
		}
	}
	return report, nil
}

// Print writes the report as text.
func (r OverheadReport) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "%d callers: %d calls, %d failed, %.0f calls/s\n", r.Callers, r.Calls, r.Failed, r.CallsPerSecond)
	_, _ = fmt.Fprintf(out, "  through ochrebay   p50 %7.3f ms   p99 %7.3f ms\n", r.P50, r.P99)
	_, _ = fmt.Fprintf(out, "  engine alone       p50 %7.3f ms   p99 %7.3f ms\n", r.DirectP50, r.DirectP99)
	_, _ = fmt.Fprintf(out, "  added              p50 %7.3f ms   p99 %7.3f ms\n", r.P50-r.DirectP50, r.P99-r.DirectP99)
	_, _ = fmt.Fprintf(out, "  ledger             %.0f entries/s, %.2f entries a sync\n", r.EntriesPerSecond, r.EntriesPerSync)
}

type controlCounters struct {
	appliedEntries float64
	storeSyncs     float64
}

// readControlCounters reads the counters of the control processes from their metrics
// endpoints.
func readControlCounters(addresses []string) ([]controlCounters, error) {
	var counts []controlCounters
	for _, address := range addresses {
		response, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			return nil, err
		}
		var count controlCounters
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			name, value, _ := strings.Cut(scanner.Text(), " ")
			counter, _ := strconv.ParseFloat(value, 64)
			switch name {
			case "ochrebay_entries_applied":
				count.appliedEntries = counter
			case "ochrebay_store_syncs":
				count.storeSyncs = counter
			}
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("workload: %s answered with status %d to a request for metrics", address, response.StatusCode)
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
		counts = append(counts, count)
	}
	return counts, nil
}
