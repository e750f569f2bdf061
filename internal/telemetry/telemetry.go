// Package telemetry provides logfmt logging, metrics and the monitoring endpoints of all daemons.
package telemetry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/ochrebay/ochrebay/internal/protocol"
)

// NewLogger returns a logger that writes one logfmt line for each event at or above the minimum
// level. The names of the keys ts, level, component, process, msg and err are fixed.
func NewLogger(writer io.Writer, component, process, minimum string) log.Logger {
	logger := log.NewLogfmtLogger(writer)
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(minimum, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "component", component, "process", process)
}

// Info logs an event at level info, for events of interest to operators.
func Info(logger log.Logger, message string, keyValues ...any) {
	_ = level.Info(logger).Log(append([]any{"msg", message}, keyValues...)...)
}

// Warn logs an event at level warn, for events that need the attention of operators.
func Warn(logger log.Logger, message string, keyValues ...any) {
	_ = level.Warn(logger).Log(append([]any{"msg", message}, keyValues...)...)
}

// Debug logs an event at level debug, for events of single calls.
func Debug(logger log.Logger, message string, keyValues ...any) {
	_ = level.Debug(logger).Log(append([]any{"msg", message}, keyValues...)...)
}

// Monitor serves /metrics, /healthz, /readyz and the registered views.
type Monitor struct {
	Registry *prometheus.Registry
	isReady  func() bool
	metrics  fasthttp.RequestHandler
	// views are the JSON views for operators, by path.
	views map[string]func() any
}

// NewMonitor returns a monitor with the metrics of the process; isReady reports whether the daemon
// can do its work.
func NewMonitor(isReady func() bool) *Monitor {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	counter := func(name, help string, value func() int64) {
		registry.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Namespace: "ochrebay", Name: name, Help: help},
			func() float64 { return float64(value()) }))
	}
	counter("inner_bytes_sent_total", "Bytes sent over the inner protocol.", protocol.Traffic.BytesOut.Load)
	counter("inner_bytes_received_total", "Bytes received over the inner protocol.", protocol.Traffic.BytesIn.Load)
	counter("inner_messages_sent_total", "Messages sent over the inner protocol.", protocol.Traffic.MessagesOut.Load)
	counter("inner_messages_received_total", "Messages received over the inner protocol.", protocol.Traffic.MessagesIn.Load)
	counter("inner_messages_dropped_total", "One-way messages that a full queue did not take.", protocol.Traffic.Dropped.Load)
	counter("log_lines_dropped_total", "Log lines that found the queue full.", func() int64 { dropped, _ := LostLogLines(); return dropped })
	counter("log_lines_thinned_total", "Log lines of calm requests left out under load.", func() int64 { _, sampledOut := LostLogLines(); return sampledOut })
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return &Monitor{Registry: registry, isReady: isReady, metrics: fasthttpadaptor.NewFastHTTPHandler(handler), views: map[string]func() any{}}
}

// RegisterView makes a path respond with the result of view as JSON. It must be called before the
// first request is served.
func (m *Monitor) RegisterView(path string, view func() any) { m.views[path] = view }

// Handler returns a net/http handler for the monitor's paths.
func (m *Monitor) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	for path, view := range m.views {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(view())
		})
	}
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !m.isReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	return mux
}

// latencyBuckets are in seconds, from the latency of a network hop to the timeouts of callers.
var latencyBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// RegisterLatencyHistogram registers a histogram in seconds with labels.
func (m *Monitor) RegisterLatencyHistogram(name, help string, labels ...string) *prometheus.HistogramVec {
	histogram := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "ochrebay", Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
	m.Registry.MustRegister(histogram)
	return histogram
}

// RegisterGauge registers a gauge whose value is read at each scrape.
func (m *Monitor) RegisterGauge(name, help string, value func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "ochrebay", Name: name, Help: help}, value))
}

// RegisterCounter registers a counter with labels.
func (m *Monitor) RegisterCounter(name, help string, labels ...string) *prometheus.CounterVec {
	counters := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "ochrebay", Name: name, Help: help}, labels)
	m.Registry.MustRegister(counters)
	return counters
}

// Serve handles a request for one of the monitor's paths; it returns false for any other path.
func (m *Monitor) Serve(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case "/metrics":
		m.metrics(ctx)
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		if !m.isReady() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("not ready\n")
			return true
		}
		ctx.SetBodyString("ready\n")
	default:
		view, known := m.views[string(ctx.Path())]
		if !known {
			return false
		}
		ctx.SetContentType("application/json")
		_ = json.NewEncoder(ctx).Encode(view())
	}
	return true
}

// OneLine returns the text of an error on one line, for a log or terminal.
func OneLine(err error) string {
	return strings.ReplaceAll(err.Error(), "\n", "; ")
}
