package workload

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCountersOfABrokenAnswer guards against counters that are read from a part of the metrics, or from a failure.
func TestCountersOfABrokenAnswer(t *testing.T) {
	const metrics = "ochrebay_entries_applied 7\nochrebay_store_syncs 3\n"
	read := func(status int, length, body string) ([]controlCounters, error) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", length)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}))
		defer server.Close()
		return readControlCounters([]string{server.Listener.Addr().String()})
	}
	Convey("whole metrics are read, and others are an error", t, func() {
		counts, err := read(http.StatusOK, "50", metrics)
		So(err, ShouldBeNil)
		So(counts, ShouldResemble, []controlCounters{{appliedEntries: 7, storeSyncs: 3}})
		_, err = read(http.StatusOK, "99", metrics)
		So(err, ShouldNotBeNil)
		_, err = read(http.StatusInternalServerError, "50", metrics)
		So(err, ShouldNotBeNil)
	})
}
