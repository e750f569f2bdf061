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
	// testRevokeWithin is the bound of revocation, milliseconds.
	testRevokeWithin = 2000
	// limitedWindow is what the tenant beta may send in a window of 5 s.
	limitedWindow = 15
)

// tenantConfiguration is a table whose tenant alpha holds the keys given.
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

// withKey asks a gateway for a plain answer with a key.
func (f *platformFleet) withKey(gateway, path, key string) (response, string) {
	return f.turn(gateway, path, "", map[string]string{"Api-Key": key, "Tenant": "somebody", "Hold": "h"})
}

// hurried is withKey for a caller who can't wait for room in its tenant's limit.
func (f *platformFleet) hurried(gateway, path, key string) (response, string) {
	return f.turn(gateway, path, "", map[string]string{"Api-Key": key, "Deadline-Ms": "400"})
}

// TestTenants drives keys, their revocation and limits over real processes.
func TestTenants(t *testing.T) {
	f := startPlatformFleet(t, fmt.Sprintf("  revoke_within_ms: %d\n  quota_window_s: 5\n", testRevokeWithin))
	controls := []string{"control-0", "control-1", "control-2"}
	status := func(gateway, path, key string) int {
		answer, _ := f.withKey(gateway, path, key)
		return answer.status
	}
	sequence := 1
	// alive has the engine report again, as it does for as long as it runs: one that is silent for
	// 10 s is taken out of the fleet, and requests that wait for room in a limit take their time.
	alive := func() {
		sequence++
		f.heartbeat("engine-1", "ready", sequence)
	}
	Convey("tenants", t, func() {
		Convey("a key leads to its tenant, at every gateway, and goes no further", func() {
			shared := strings.Replace(tenantConfiguration(1, firstKey), limitedKey, firstKey, 1)
			So(f.operate("POST", "/ochrebay/Config.Replace", shared).status, ShouldEqual, 400)
			So(f.operate("POST", "/ochrebay/Config.Replace", tenantConfiguration(2, firstKey, secondKey)).status, ShouldEqual, 200)
			So(f.heartbeat("engine-1", "ready", 1), ShouldEqual, 200)
			for _, gateway := range []string{"gateway-0", "gateway-1"} {
				f.until("an answer through "+gateway, func() bool { return status(gateway, "/safe/", firstKey) == 200 })
				answer, id := f.withKey(gateway, "/safe/", secondKey)
				So(answer.status, ShouldEqual, 200)
				header := f.engine.header(id)
				So(header["Tenant"], ShouldResemble, []string{"alpha"})
				So(header, ShouldNotContainKey, "Api-Key")
				So(header, ShouldNotContainKey, "Hold")
				f.until("an unknown key's refusal", func() bool { return status(gateway, "/safe/", "nobody") == 401 })
				So(status(gateway, "/unsafe/", ""), ShouldEqual, 200)
			}
		})
		Convey("a limit holds over both gateways, and a refusal says when to come back", func() {
			began := time.Now()
			f.until("a grant", func() bool { return status("gateway-0", "/safe/", limitedKey) == 200 })
			granted, denied := 1, 0
			for number := range 3 * limitedWindow {
				answer, id := f.hurried(fmt.Sprintf("gateway-%d", number%2), "/safe/", limitedKey)
				switch answer.status {
				case 200:
					granted++
				case 429:
					denied++
					So(answer.header.Get("Retry-After"), ShouldNotBeBlank)
					So(f.engine.ran(id), ShouldEqual, 0)
				}
			}
			windows := 1 + int(time.Since(began)/(5*time.Second))
			So(granted, ShouldBeLessThanOrEqualTo, limitedWindow*windows)
			So(denied, ShouldBeGreaterThanOrEqualTo, 3*limitedWindow-limitedWindow*windows)
			// Who can wait is served when there is room again.
			So(status("gateway-0", "/safe/", limitedKey), ShouldEqual, 200)
		})
		Convey("a withdrawn key is refused by a gateway that was frozen over the revocation", func() {
			f.signal(syscall.SIGSTOP, "gateway-1")
			So(f.operate("POST", "/ochrebay/Config.Replace", tenantConfiguration(4, firstKey)).status, ShouldEqual, 200)
			time.Sleep(testRevokeWithin * time.Millisecond)
			f.signal(syscall.SIGCONT, "gateway-1")
			for range 20 {
				answer, id := f.withKey("gateway-1", "/safe/", secondKey)
				So(answer.status, ShouldBeIn, 401, 503)
				So(f.engine.ran(id), ShouldEqual, 0)
			}
			f.until("the other key's answer", func() bool {
				alive()
				return status("gateway-1", "/safe/", firstKey) == 200
			})
		})
		Convey("gateways that are cut off serve no key beyond the bound, and what needs none still", func() {
			f.signal(syscall.SIGSTOP, controls...)
			f.until("the end of the proof", func() bool { return status("gateway-0", "/safe/", firstKey) == 503 })
			So(status("gateway-0", "/unsafe/", ""), ShouldEqual, 200)
			So(status("gateway-0", "/safe/", "nobody"), ShouldEqual, 503)
			f.signal(syscall.SIGCONT, controls...)
			f.until("an answer again", func() bool {
				alive()
				return status("gateway-0", "/safe/", firstKey) == 200
			})
		})
		Convey("no log holds a key, whole or in part", func() {
			logs, err := filepath.Glob(filepath.Join(f.folder, "*.log"))
			So(err, ShouldBeNil)
			So(len(logs), ShouldBeGreaterThan, 5)
			for _, log := range logs {
				raw, err := os.ReadFile(log)
				So(err, ShouldBeNil)
				So(string(raw), ShouldNotContainSubstring, "key-of-")
			}
			for _, name := range []string{"gateway-0", "control-0", "ledger-0"} {
				answer, err := send("GET", "http://"+f.addresses["http-"+name]+"/metrics", "", nil)
				So(err, ShouldBeNil)
				So(answer.body, ShouldNotContainSubstring, "key-of-")
			}
		})
	})
}
