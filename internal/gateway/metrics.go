package gateway

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

// metrics holds the metrics of a gateway.
type metrics struct {
	requests     *prometheus.HistogramVec
	failures     *prometheus.CounterVec
	attempts     *prometheus.CounterVec
	responses    *prometheus.CounterVec
	turnOpen     *prometheus.HistogramVec
	turnRetain   *prometheus.HistogramVec
	firstEvent   *prometheus.HistogramVec
	historyReads *prometheus.CounterVec
	quotaWait    *prometheus.HistogramVec
	sessionMoves *prometheus.CounterVec
	// continuations counts the streams that broke off, by whether they went on.
	continuations *prometheus.CounterVec
	// engineCrashes counts the engines that ended, or may have ended, under a request.
	engineCrashes *prometheus.CounterVec
	// strayResponses counts responses of engines that belong to no request or to an earlier one.
	strayResponses *prometheus.CounterVec
}

// newMetrics registers the metrics of a gateway.
func newMetrics(monitor *telemetry.Monitor, d *Daemon) *metrics {
	monitor.RegisterGauge("gateway_request_memory", "Bytes held by requests in progress beyond their allowances.", func() float64 { return float64(d.requestMemory.TakenBytes()) })
	monitor.RegisterGauge("gateway_in_flight", "Requests under way.", func() float64 { return float64(d.inFlight.Load()) })
	monitor.RegisterGauge("gateway_engine_connections_opened", "Connections made to engines since the start.", func() float64 { return float64(d.pool.ConnectionsOpened.Load()) })
	monitor.RegisterGauge("gateway_engine_connections_reused", "Requests sent on kept connections since the start.", func() float64 { return float64(d.pool.ConnectionsReused.Load()) })
	monitor.RegisterGauge("routing_generation", "Generation of the routing table in force.", func() float64 {
		if current := d.view.Load(); current != nil {
			return float64(current.routes.Table.Generation)
		}
		return 0
	})
	monitor.RegisterGauge("gateway_proof_age_seconds", "How long ago the routing table was surely in force; -1 for never.", func() float64 {
		if age, isConfirmed := d.confirmationAge(); isConfirmed {
			return age.Seconds()
		}
		return -1
	})
	monitor.RegisterGauge("gateway_waiting", "Requests that wait for room at engines.", func() float64 {
		_, waitingCount := d.waitQueues.misjudgments()
		return float64(waitingCount)
	})
	monitor.RegisterGauge("gateway_rejected_wrongly", "Requests rejected for want of room that came in time for them after all, since the start.", func() float64 {
		misjudgments, _ := d.waitQueues.misjudgments()
		return float64(misjudgments.FalseRejections)
	})
	monitor.RegisterGauge("gateway_held_in_vain", "Requests that waited for room and got none, since the start.", func() float64 {
		misjudgments, _ := d.waitQueues.misjudgments()
		return float64(misjudgments.FutileWaits)
	})
	monitor.RegisterGauge("gateway_held_in_vain_seconds", "How long they waited in all.", func() float64 {
		misjudgments, _ := d.waitQueues.misjudgments()
		return (time.Duration(misjudgments.FutileWaitMs) * time.Millisecond).Seconds()
	})
	monitor.RegisterGauge("gateway_processor_use", "Part of the share of a core that is used.", func() float64 {
		return math.Float64frombits(d.processorLoad.utilizationBits.Load())
	})
	monitor.RegisterGauge("gateway_engine_slowness_spread", "Slowest over quickest engine of the back end where they differ most, by what streams have shown; 1 where they are alike.", func() float64 { return d.engines.slowdownSpread() })
	return &metrics{
		requests:       monitor.RegisterLatencyHistogram("gateway_request_seconds", "Time of requests from their head to the end of the answer.", "kind", "outcome"),
		failures:       monitor.RegisterCounter("gateway_failures_total", "Requests that no engine answered, by result code.", "code"),
		attempts:       monitor.RegisterCounter("gateway_attempts_total", "Sends to engines, by how they ended.", "outcome"),
		responses:      monitor.RegisterCounter("gateway_engine_responses_total", "Responses of engines that were to be forwarded, by how their body was framed and how the attempt ended.", "framing", "outcome"),
		turnOpen:       monitor.RegisterLatencyHistogram("gateway_turn_open_seconds", "Time until the ledger had opened a turn."),
		turnRetain:     monitor.RegisterLatencyHistogram("gateway_turn_keep_seconds", "Time until the ledger had kept a turn."),
		firstEvent:     monitor.RegisterLatencyHistogram("gateway_first_event_seconds", "Time from the send to an engine to its first event."),
		historyReads:   monitor.RegisterCounter("gateway_histories_total", "Reads of the older turns of a chain, by the replica that answered.", "source"),
		sessionMoves:   monitor.RegisterCounter("gateway_sessions_moved_total", "Turns that went to another engine than the one that holds what their session has read, by why.", "reason"),
		continuations:  monitor.RegisterCounter("gateway_streams_continued_total", "Streams that broke off, by who was to continue them (gateway: in the same answer; caller: in another request) and whether they went on.", "by", "outcome"),
		engineCrashes:  monitor.RegisterCounter("gateway_engine_crashes_total", "Attempts under which an engine ended or may have ended, by what a dial to its address showed afterwards.", "engine_state"),
		strayResponses: monitor.RegisterCounter("gateway_stray_responses_total", "Responses of engines that belong to no request or to an earlier one, by status.", "status"),
		quotaWait:      monitor.RegisterLatencyHistogram("gateway_quota_seconds", "Time until the owner of a tenant's limit had answered.", "outcome"),
	}
}

// recordRequest records how a request ended. c is nil if the request was rejected before a call
// was created.
func (m *metrics) recordRequest(c *call, failure *result.Error) {
	outcome := "served"
	if failure != nil {
		outcome = string(failure.Outcome)
		m.failures.WithLabelValues(failure.Code.String()).Inc()
	}
	if c == nil {
		return
	}
	if c.selection.moveReason != scheduling.NotMoved {
		m.sessionMoves.WithLabelValues(string(c.selection.moveReason)).Inc()
	}
	m.requests.WithLabelValues(string(c.route.Kind), outcome).Observe(time.Since(c.startedAt).Seconds())
	if c.openedAfter > 0 {
		m.turnOpen.WithLabelValues().Observe(c.openedAfter.Seconds())
	}
	if c.retainTime > 0 {
		m.turnRetain.WithLabelValues().Observe(c.retainTime.Seconds())
	}
}
