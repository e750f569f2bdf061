package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	firstKey   = "key-of-alpha-first"
	secondKey  = "key-of-alpha-second"
	limitedKey = "key-of-beta"
	// testRevokeWithinMs is the bound on the use of revoked keys.
	testRevokeWithinMs = 2000
	// requestsPerWindow is the number of requests that the tenant beta may send in a window of 5 s:
	// 2 per second and a burst of 5.
	requestsPerWindow = 15
)

// tenantConfiguration returns a configuration in which the tenant alpha has the given keys.
func tenantConfiguration(generation int, keys ...string) string {
	return strings.Replace(strings.Replace(configuration(generation), `"limits"`,
		fmt.Sprintf(`"tenants":[{"name":"alpha","apiKeys":["%s"],"ratePerS":0},{"name":"beta","apiKeys":["%s"],"ratePerS":2,"burst":5}],"limits"`,
			strings.Join(keys, `","`), limitedKey), 1),
		`"pathPrefix":"/unsafe/"`, `"anonymous":true,"pathPrefix":"/unsafe/"`, 1)
}

func (f *platformFleet) signal(signal syscall.Signal, names ...string) {
	f.t.Helper()
	for _, name := range names {
		if err := f.processes[name].Process.Signal(signal); err != nil {
			f.t.Fatal(err)
		}
	}
}

// sendWithKey sends a request with an API key, and with headers that gateways must not forward.
func (f *platformFleet) sendWithKey(gateway, path, key string) (response, string) {
	return f.sendTurn(gateway, path, "", map[string]string{"Api-Key": key, "Tenant": "somebody", "Hold": "h"})
}

// sendWithShortDeadline sends a request with an API key and a deadline too short to wait for
// capacity within the limit of the tenant.
func (f *platformFleet) sendWithShortDeadline(gateway, path, key string) (response, string) {
	return f.sendTurn(gateway, path, "", map[string]string{"Api-Key": key, "Deadline-Ms": "400"})
}

// TestTenants tests API keys, their revocation and tenants' limits with real processes.
func TestTenants(t *testing.T) {
	f := startPlatformFleet(t, fmt.Sprintf("  revoke_within_ms: %d\n  quota_window_s: 5\n", testRevokeWithinMs))
	controls := []string{"control-0", "control-1", "control-2"}
	status := func(gateway, path, key string) int {
		reply, _ := f.sendWithKey(gateway, path, key)
		return reply.status
	}
	sequence := 1
	// sendHeartbeat sends another heartbeat of the engine. An engine without a heartbeat for 10 s is
	// removed from the fleet, and requests that wait for capacity within a limit may take longer.
	sendHeartbeat := func() {
		sequence++
		f.heartbeat("engine-1", "ready", sequence)
	}
	Convey("tenants are authenticated and limited", t, func() {
		Convey("a key identifies its tenant at every gateway and is not forwarded to engines", func() {
			shared := strings.Replace(tenantConfiguration(1, firstKey), limitedKey, firstKey, 1)
			So(f.sendToControl("POST", "/ochrebay/Config.Replace", shared).status, ShouldEqual, 400)
			So(f.sendToControl("POST", "/ochrebay/Config.Replace", tenantConfiguration(2, firstKey, secondKey)).status, ShouldEqual, 200)
			So(f.heartbeat("engine-1", "ready", 1), ShouldEqual, 200)
			for _, gateway := range []string{"gateway-0", "gateway-1"} {
				// A gateway that knows no ledger host yet serves calls, and rejects them from the first host on until
				// the groups are placed. A turn is served only once its group is.
				f.waitFor("a turn through "+gateway, func() bool { return status(gateway, "/stream/", firstKey) == 200 })
				So(status(gateway, "/safe/", firstKey), ShouldEqual, 200)
				reply, id := f.sendWithKey(gateway, "/safe/", secondKey)
				So(fmt.Sprint(reply.status, reply.body), ShouldStartWith, "200")
				header := f.engine.header(id)
				So(header["Tenant"], ShouldResemble, []string{"alpha"})
				So(header, ShouldNotContainKey, "Api-Key")
				So(header, ShouldNotContainKey, "Hold")
				f.waitFor("the rejection of an unknown key", func() bool { return status(gateway, "/safe/", "nobody") == 401 })
				So(status(gateway, "/unsafe/", ""), ShouldEqual, 200)
			}
		})
		Convey("a limit holds across both gateways, and a rejection has a Retry-After header", func() {
			began := time.Now()
			f.waitFor("a request to be granted", func() bool { return status("gateway-0", "/safe/", limitedKey) == 200 })
			granted, denied := 1, 0
			for number := range 3 * requestsPerWindow {
				reply, id := f.sendWithShortDeadline(fmt.Sprintf("gateway-%d", number%2), "/safe/", limitedKey)
				switch reply.status {
				case 200:
					granted++
				case 429:
					denied++
					So(reply.header.Get("Retry-After"), ShouldNotBeBlank)
					So(f.engine.runCount(id), ShouldEqual, 0)
				}
			}
			windows := 1 + int(time.Since(began)/(5*time.Second))
			So(granted, ShouldBeLessThanOrEqualTo, requestsPerWindow*windows)
			So(denied, ShouldBeGreaterThanOrEqualTo, 3*requestsPerWindow-requestsPerWindow*windows)
			// A request that can wait is served once the limit has capacity again.
			So(status("gateway-0", "/safe/", limitedKey), ShouldEqual, 200)
		})
		Convey("a revoked key is rejected by a gateway that was frozen during the revocation", func() {
			f.signal(syscall.SIGSTOP, "gateway-1")
			So(f.sendToControl("POST", "/ochrebay/Config.Replace", tenantConfiguration(4, firstKey)).status, ShouldEqual, 200)
			time.Sleep(testRevokeWithinMs * time.Millisecond)
			f.signal(syscall.SIGCONT, "gateway-1")
			for range 20 {
				reply, id := f.sendWithKey("gateway-1", "/safe/", secondKey)
				So(reply.status, ShouldBeIn, 401, 503)
				So(f.engine.runCount(id), ShouldEqual, 0)
			}
			f.waitFor("a response for the remaining key", func() bool {
				sendHeartbeat()
				return status("gateway-1", "/safe/", firstKey) == 200
			})
		})
		Convey("gateways partitioned from control serve no key beyond the bound, but still serve anonymous requests", func() {
			f.signal(syscall.SIGSTOP, controls...)
			f.waitFor("the expiry of the routing-table confirmation", func() bool { return status("gateway-0", "/safe/", firstKey) == 503 })
			So(status("gateway-0", "/unsafe/", ""), ShouldEqual, 200)
			So(status("gateway-0", "/safe/", "nobody"), ShouldEqual, 503)
			f.signal(syscall.SIGCONT, controls...)
			f.waitFor("a response after control resumed", func() bool {
				sendHeartbeat()
				return status("gateway-0", "/safe/", firstKey) == 200
			})
		})
		Convey("no log, and no metric of a gateway, control process or ledger host, contains the prefix of the keys", func() {
			logs, err := filepath.Glob(filepath.Join(f.folder, "*.log"))
			So(err, ShouldBeNil)
			So(len(logs), ShouldBeGreaterThan, 5)
			for _, log := range logs {
				raw, err := os.ReadFile(log)
				So(err, ShouldBeNil)
				So(string(raw), ShouldNotContainSubstring, "key-of-")
			}
			for _, name := range []string{"gateway-0", "control-0", "ledger-0"} {
				reply, err := send("GET", "http://"+f.addresses["http-"+name]+"/metrics", "", nil)
				So(err, ShouldBeNil)
				So(reply.body, ShouldNotContainSubstring, "key-of-")
			}
		})
	})
}
