package gateway

import (
	"net/http"
	"strconv"

	"github.com/ochrebay/ochrebay/internal/telemetry"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

// recordStrayResponse records a response of an engine that does not belong to the request for which it was
// read.
func (d *Daemon) recordStrayResponse(address string, request *upstream.Request, stray *http.Response) {
	d.metrics.strayResponses.WithLabelValues(strconv.Itoa(stray.StatusCode)).Inc()
	telemetry.Info(d.logger, "stray response skipped", "request", request.ID, "address", address,
		"status", stray.StatusCode, "stray_request", stray.Header.Get(request.IDHeader))
}
