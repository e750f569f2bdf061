package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// callerPaths are the paths of the routes of each kind.
var callerPaths = []string{"/kept/", "/stream/", "/safe/", "/unsafe/"}

// expectLegalBody waits until one request with a body of legalBodyBytes is served, for each kind of route.
func (f *platformFleet) expectLegalBody(gateway string) {
	f.t.Helper()
	body := strings.Repeat("x", legalBodyBytes)
	for _, path := range callerPaths {
		f.waitFor("a body of the largest legal size at "+path, func() bool {
			reply, _ := f.sendTurn(gateway, path, body, map[string]string{"Program-Id": fmt.Sprint("legal-", requestNumber.Load())})
			return reply.status == http.StatusOK && !reply.isTruncated
		})
	}
}

// TestCrowdOfBodiesAtCallers guards against a gateway that uses more memory than its machine has, or answers no
// ordinary caller, while many callers send large bodies, most of them not to their end.
func TestCrowdOfBodiesAtCallers(t *testing.T) {
	f := startCrowdFleet(t, 0)
	for _, body := range crowdBodies {
		watch := f.watch("gateway-0")
		callers := newCrowd(t)
		callers.sendBodies(f.addresses["gateway-0"], crowdSize, func(number int) string {
			return "POST " + callerPaths[number%len(callerPaths)]
		}, body)
		f.expectTurn("beside the crowd", "gateway-0")
		callers.leave()
		f.expectTurn("after the crowd", "gateway-0")
		watch.stop(body.name + " " + callers.statusCounts())
	}
	f.expectLegalBody("gateway-0")
}

// operatorTargets are the calls of operators and engines that have a body, and one that does not exist.
var operatorTargets = []string{
	"POST /ochrebay/Config.Replace", "POST /ochrebay/Instances.Heartbeat/crowd", "POST /ochrebay/Retire.Start/nobody", "POST /nowhere",
}

// TestCrowdOfConfigurations guards against a control process that uses more memory than its machine has, or answers
// no operator, while many clients send large configurations, most of them not to their end.
func TestCrowdOfConfigurations(t *testing.T) {
	f := startCrowdFleet(t, 0)
	for _, body := range crowdBodies {
		watch := f.watch("control-0")
		operators := newCrowd(t)
		operators.sendBodies(f.operators[0], crowdSize, func(int) string { return operatorTargets[0] }, body)
		f.expectAnswer("beside the crowd", "http://"+f.operators[0]+"/ochrebay/Config.Read")
		operators.leave()
		f.expectAnswer("after the crowd", "http://"+f.operators[0]+"/ochrebay/Config.Read")
		watch.stop(body.name + " " + operators.statusCounts())
	}
	large := strings.Replace(legalConfiguration(2), `"kept":true`, `"kept":"`+strings.Repeat("x", legalBodyBytes)+`"`, 1)
	if reply := f.sendToControl("POST", "/ochrebay/Config.Replace", large); reply.status != http.StatusOK {
		t.Errorf("a large configuration in calm is answered with %d: %s", reply.status, reply.body)
	}
}

// TestCrowdOfBodiesElsewhere guards against processes of any role that use more memory than their machine has while
// many clients send large bodies to their other addresses and paths.
func TestCrowdOfBodiesElsewhere(t *testing.T) {
	f := startCrowdFleet(t, 0)
	addresses := []struct{ process, address, path string }{
		{"gateway-0", f.addresses["ready-gateway-0"], "/ochrebay/ready"},
		{"gateway-0", f.addresses["http-gateway-0"], "/metrics"},
		{"gateway-0", f.addresses["gateway-0"], "/nowhere"},
		{"control-0", f.addresses["directory-0"], "/ochrebay/resolve"},
		{"control-0", f.addresses["http-control-0"], "/v1/settings"},
		{"control-0", f.operators[0], "/ochrebay/Instances.Heartbeat/crowd"},
		{"control-0", f.operators[0], "/nowhere"},
		{"ledger-0", f.addresses["http-ledger-0"], "/metrics"},
	}
	for _, target := range addresses {
		for _, body := range crowdBodies {
			watch := f.watch(target.process)
			clients := newCrowd(t)
			clients.sendBodies(target.address, crowdSize, func(int) string { return "POST " + target.path }, body)
			clients.leave()
			watch.stop(target.process + " " + target.path + ": " + body.name + " " + clients.statusCounts())
		}
	}
	f.expectTurn("after the crowds", "gateway-0")
}

// TestCrowdOfWholeBodies guards against gateways and ledger hosts that use more memory than their machine has while
// many callers, which behave otherwise, send whole bodies of the largest legal size at once.
func TestCrowdOfWholeBodies(t *testing.T) { runWholeBodies(t, defaultMemoryMB) }

// TestCrowdOfWholeBodiesOnSmallMachines is TestCrowdOfWholeBodies on machines of the smallest size that the users run
// ledger hosts on.
func TestCrowdOfWholeBodiesOnSmallMachines(t *testing.T) {
	const smallMachineMB = 144
	runWholeBodies(t, smallMachineMB)
}

// runWholeBodies sends waves of whole bodies over routes of each kind, to engines that are fast or slow, and measures
// gateways and ledger hosts whose memory limit is memoryMB MiB.
func runWholeBodies(t *testing.T, memoryMB int) {
	const (
		callersAtOnce = 60
		waves         = 3
		slowPause     = 300 * time.Millisecond
	)
	f := newFleetWithMemory(t, testFleetSize, memoryMB)
	f.startForCrowds(testFleetSize)
	names := append(numberedNames("gateway", testFleetSize.gateways), numberedNames("ledger", testFleetSize.ledgers)...)
	body := strings.Repeat("x", legalBodyBytes)
	for _, pause := range []time.Duration{0, slowPause} {
		f.engine.update(func(e *fakeEngine) { e.pause = pause })
		for _, path := range callerPaths {
			watch := f.watch(names...)
			for range waves {
				var calling sync.WaitGroup
				for number := range callersAtOnce {
					calling.Go(func() {
						headers := map[string]string{"Program-Id": fmt.Sprint("wave-", requestNumber.Load(), "-", number), "Deadline-Ms": "8000"}
						f.sendTurn(fmt.Sprint("gateway-", number%testFleetSize.gateways), path, body, headers)
					})
				}
				calling.Wait()
			}
			f.engine.update(func(e *fakeEngine) { e.pause = 0 })
			f.expectTurn("after the waves", "gateway-0")
			f.expectTurn("after the waves", "gateway-1")
			watch.stop(fmt.Sprintf("%s with a pause of %s", path, pause))
			f.engine.update(func(e *fakeEngine) { e.pause = pause })
		}
	}
	f.engine.update(func(e *fakeEngine) { e.pause = 0 })
	f.expectLegalBody("gateway-1")
}
