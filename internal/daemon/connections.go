package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/ochrebay/ochrebay/internal/listener"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

// connectionLogInterval is the minimum time between two log lines about the connections of one address.
const connectionLogInterval = time.Second

// ConnectionWatch logs and counts the connections to the addresses of a process that were closed or refused because
// there were too many.
type ConnectionWatch struct {
	mutex     sync.Mutex
	addresses []*watchedAddress
}

// watchedAddress is one address of a process, with the counts at its latest log line.
type watchedAddress struct {
	name   string
	counts func() listener.Counts
	logged listener.Counts
}

// NewConnectionWatch returns a watch without addresses that registers its metrics.
func NewConnectionWatch(monitor *telemetry.Monitor) *ConnectionWatch {
	w := &ConnectionWatch{}
	monitor.RegisterGauge("connections_open", "Connections that clients and peers hold, over all addresses.", func() float64 { return float64(w.total().Open) })
	monitor.RegisterGauge("connections_displaced", "Connections closed since the start in favor of others, over all addresses.", func() float64 { return float64(w.total().Displaced) })
	monitor.RegisterGauge("connections_refused", "New connections closed since the start because all others were in use, over all addresses.", func() float64 { return float64(w.total().Refused) })
	return w
}

// Add adds an address. A nil watch ignores it.
func (w *ConnectionWatch) Add(name string, counts func() listener.Counts) {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.addresses = append(w.addresses, &watchedAddress{name: name, counts: counts})
}

// total returns the sums over all addresses.
func (w *ConnectionWatch) total() listener.Counts {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var total listener.Counts
	for _, address := range w.addresses {
		counts := address.counts()
		total.Open += counts.Open
		total.Displaced += counts.Displaced
		total.Refused += counts.Refused
	}
	return total
}

// Run logs until ctx ends.
func (w *ConnectionWatch) Run(ctx context.Context, logger log.Logger) error {
	ticker := time.NewTicker(connectionLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			w.logChanges(logger)
		}
	}
}

// logChanges logs the addresses at which connections were closed or refused since the last line.
func (w *ConnectionWatch) logChanges(logger log.Logger) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, address := range w.addresses {
		counts := address.counts()
		displaced, refused := counts.Displaced-address.logged.Displaced, counts.Refused-address.logged.Refused
		if displaced == 0 && refused == 0 {
			continue
		}
		address.logged = counts
		telemetry.Warn(logger, "connections closed for want of room", "address", address.name, "open", counts.Open, "limit", counts.Limit,
			"displaced", displaced, "refused", refused)
	}
}
