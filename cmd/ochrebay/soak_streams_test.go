package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// make soak-streams sets these flags; make test uses the same seeds and sizes every time.
var (
	streamSoakSeeds    = flag.Int("soak.stream_seeds", 2, "number of seeds of TestStreamSoak")
	streamSoakStreams  = flag.Int("soak.streams", 150, "streams that the callers of TestStreamSoak take up for each seed")
	streamSoakGateways = flag.Int("soak.gateways", 3, "number of gateways of TestStreamSoak")
	streamSoakLedgers  = flag.Int("soak.ledgers", 3, "number of ledger hosts of TestStreamSoak")
	streamSoakLogs     = flag.String("soak.logs", "", "folder to which TestStreamSoak copies the logs of its processes; empty for none")
	streamSoakCallers  = flag.Int("soak.callers", 12, "number of callers of TestStreamSoak")
)

const (
	// streamDeadline is how long the caller of a stream takes it up again.
	streamDeadline = 4 * time.Second
	// streamEvents is the number of events of a complete stream.
	streamEvents = 12
	// slotsPerVersion is the number of engines of each software version that run at a time.
	slotsPerVersion = 3
	// minKnownEngines and minKnownTime say which software versions a gateway is expected to know.
	minKnownEngines = 2
	minKnownTime    = 3 * time.Second
	// pauseBetweenTries is the pause of a caller that is rejected once no fault is left.
	pauseBetweenTries = 100 * time.Millisecond
	// maxRequestsPerStream bounds the requests by which a caller takes one stream up.
	maxRequestsPerStream = 12
)

// soakVersions are the software versions of the engines.
var soakVersions = []string{"v1", "v2"}

// streamSoak holds what the callers of a stream soak have observed.
type streamSoak struct {
	fleet    *platformFleet
	gateways []string
	requests atomic.Int64
	// complete counts the streams that came to their end, takenUp the requests that went on with a
	// stream, and unavailable and unknown those that were rejected.
	complete, takenUp, unavailable, unknown atomic.Int64
	// unavailableWrongly counts the rejections for want of a software version that at least
	// minKnownEngines engines served, which control had known for minKnownTime.
	unavailableWrongly atomic.Int64

	// crashes counts the engines that ended under requests.
	crashes crashCounts

	mutex         sync.Mutex
	violationList []string
	// readySince holds when control first acknowledged a report of each engine that serves.
	readySince map[*streamEngine]time.Time
}

func (s *streamSoak) addViolation(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violationList = append(s.violationList, fmt.Sprintf(format, values...))
}

func (s *streamSoak) violations() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.violationList)
}

// post sends a message to up to three random control processes, until one accepts it.
func (s *streamSoak) post(random *rand.Rand, path, body string) bool {
	for range 3 {
		address := s.fleet.operators[random.IntN(len(s.fleet.operators))]
		if reply, err := send("POST", "http://"+address+path, body, nil); err == nil && reply.status == http.StatusOK {
			return true
		}
	}
	return false
}

// disturb strikes one process with series of signals, at most maxPause apart, until stop is closed:
// it is reloaded, frozen, stopped or killed, also while it is frozen or draining, and started again.
func (s *streamSoak) disturb(random *rand.Rand, name string, maxPause time.Duration, stop <-chan struct{}) {
	for pause(stop, time.Duration(random.Int64N(int64(maxPause)))+100*time.Millisecond) {
		process := s.fleet.process(name)
		isStopping := false
		if random.IntN(2) == 0 && s.hasStarted(name) {
			_ = process.Process.Signal(syscall.SIGHUP)
		}
		if random.IntN(3) == 0 {
			_ = process.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(100+random.IntN(1500)) * time.Millisecond)
			if random.IntN(2) == 0 {
				_ = process.Process.Signal(syscall.SIGTERM)
				isStopping = true
			}
			_ = process.Process.Signal(syscall.SIGCONT)
		}
		if !isStopping && random.IntN(2) == 0 {
			continue
		}
		if isStopping || random.IntN(2) == 0 {
			_ = process.Process.Signal(syscall.SIGTERM)
			time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
		}
		_ = process.Process.Signal(syscall.SIGKILL)
		_ = process.Wait()
		s.fleet.start(name)
	}
}

// changeConfiguration replaces the configuration again and again until stop is closed.
func (s *streamSoak) changeConfiguration(random *rand.Rand, stop <-chan struct{}) {
	for generation := int64(1); ; generation++ {
		for !s.post(random, "/ochrebay/Config.Replace", soakConfiguration(generation)) {
			if !pause(stop, 50*time.Millisecond) {
				return
			}
		}
		if !pause(stop, time.Duration(random.IntN(2000))*time.Millisecond) {
			return
		}
	}
}

// TestStreamSoak guards against streams that mix software versions, lose or repeat events, or are
// forgotten, while callers take them up at random gateways on connections that they keep, engines
// of two versions crash and leave, and all processes are reloaded, frozen, stopped and killed in
// overlapping series.
func TestStreamSoak(t *testing.T) {
	for seed := range uint64(*streamSoakSeeds) {
		t.Run(fmt.Sprintf("seed %d", *soakSeed+seed), func(t *testing.T) { soakStreams(t, *soakSeed+seed) })
	}
}

func soakStreams(t *testing.T, seed uint64) {
	size := fleetSize{controls: 3, ledgers: *streamSoakLedgers, gateways: *streamSoakGateways}
	fleet := startSizedFleet(t, size, streamSoakBinary(rand.New(rand.NewPCG(seed, 5))))
	t.Cleanup(func() { copyLogs(t, fleet.folder, seed) })
	s := &streamSoak{fleet: fleet, gateways: numberedNames("gateway", size.gateways), readySince: map[*streamEngine]time.Time{}}
	part := uint64(0)
	random := func() *rand.Rand {
		part++
		return rand.New(rand.NewPCG(seed, 1000+part))
	}
	var isCalm atomic.Bool
	stopFaults, stopEngines := make(chan struct{}), make(chan struct{})
	var disturbing, running sync.WaitGroup
	disturbing.Go(func() { s.changeConfiguration(random(), stopFaults) })
	for _, version := range soakVersions {
		for slot := range slotsPerVersion {
			engineRandom := random()
			running.Go(func() { s.runEngineSlot(engineRandom, fmt.Sprint(slot), version, &isCalm, stopEngines) })
		}
	}
	t.Cleanup(func() {
		close(stopEngines)
		running.Wait()
	})
	fleet.waitFor("a first stream", func() bool {
		s.runCallers(1, 1, random)
		return s.complete.Load() > 0
	})
	// One control process and one ledger host at a time are disturbed, gateways independently.
	const gatewayPause, otherPeriod = 4 * time.Second, 2 * time.Second
	for _, name := range s.gateways {
		gatewayRandom := random()
		disturbing.Go(func() { s.disturb(gatewayRandom, name, gatewayPause, stopFaults) })
	}
	for _, names := range [][]string{numberedNames("control", size.controls), numberedNames("ledger", size.ledgers)} {
		roleRandom := random()
		disturbing.Go(func() { s.disturbInTurn(roleRandom, names, otherPeriod, stopFaults) })
	}
	crashRandom := random()
	disturbing.Go(func() { s.sendCrashingRequests(crashRandom, stopFaults) })
	s.runCallers(*streamSoakCallers, int64(*streamSoakStreams), random)
	close(stopFaults)
	disturbing.Wait()
	isCalm.Store(true)
	s.checkMemory()
	s.checkCalm(random)
	s.checkCrashLimitInCalm(random())
	t.Logf("seed %d: %d engines ended under %d requests, %d rejections, most under one %d", seed, s.crashes.engines(), s.crashes.sent.Load(), s.crashes.rejections.Load(), s.crashes.most())
	t.Logf("seed %d: %d streams complete, %d taken up, %d rejected for want of their version (%d while two engines served it), %d as unknown",
		seed, s.complete.Load(), s.takenUp.Load(), s.unavailable.Load(), s.unavailableWrongly.Load(), s.unknown.Load())
	if violations := s.violations(); len(violations) > 0 {
		t.Fatalf("%d violations (logs in %s):\n%s", len(violations), filepath.Base(fleet.folder), strings.Join(violations[:min(len(violations), 20)], "\n"))
	}
}

// checkMemory checks that no gateway has used more memory than the platform grants it.
func (s *streamSoak) checkMemory() {
	for _, name := range s.gateways {
		if peak := peakMemoryKB(s.fleet.process(name).Process.Pid); peak >= gatewayMemoryKB {
			s.addViolation("%s has used %d kB", name, peak)
		}
	}
}

// copyLogs copies the logs of a fleet to a folder of the seed.
func copyLogs(t *testing.T, folder string, seed uint64) {
	if *streamSoakLogs == "" {
		return
	}
	target := filepath.Join(*streamSoakLogs, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(target, 0o750); err != nil {
		t.Fatal(err)
	}
	logs, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, file := range logs {
		raw, err := os.ReadFile(file)
		if err == nil {
			err = os.WriteFile(filepath.Join(target, filepath.Base(file)), raw, 0o600)
		}
		if err != nil {
			t.Error(err)
		}
	}
}

// streamSoakBinary returns a function that starts ledger hosts and control processes with one of two
// releases at random; nil if there is only one release. Gateways run the current one.
func streamSoakBinary(random *rand.Rand) func(name string) string {
	choose := soakBinary(random)
	if choose == nil {
		return nil
	}
	var mutex sync.Mutex
	return func(name string) string {
		if strings.HasPrefix(name, "gateway") {
			return testBinary
		}
		mutex.Lock()
		defer mutex.Unlock()
		return choose(name)
	}
}

// hasStarted reports whether a process accepts connections. Before its runtime has started, a process
// can't catch SIGHUP and ends.
func (s *streamSoak) hasStarted(name string) bool {
	connection, err := net.DialTimeout("tcp", s.fleet.addresses["http-"+name], time.Second)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// disturbInTurn disturbs one process of a role after the other, each for a period, until stop is
// closed.
func (s *streamSoak) disturbInTurn(random *rand.Rand, names []string, period time.Duration, stop <-chan struct{}) {
	for {
		periodEnded := make(chan struct{})
		time.AfterFunc(period, func() { close(periodEnded) })
		s.disturb(random, pickName(random, names), period, periodEnded)
		if !pause(stop, time.Duration(random.Int64N(int64(period)))) {
			return
		}
	}
}

// runCallers runs callers until streams have been taken up the given number of times in all, or a
// violation was found.
func (s *streamSoak) runCallers(callers int, takeUps int64, random func() *rand.Rand) {
	until := s.takenUp.Load() + takeUps
	var calling sync.WaitGroup
	for range callers {
		caller := &streamCaller{soak: s, random: random(), transport: &http.Transport{MaxIdleConnsPerHost: 4}, gateways: s.gateways}
		calling.Go(func() {
			defer caller.transport.CloseIdleConnections()
			for s.takenUp.Load() < until && len(s.violations()) == 0 {
				caller.runStream()
			}
		})
	}
	calling.Wait()
}

// checkCalm checks that, once no fault is left, streams of both versions are taken up at every
// gateway.
func (s *streamSoak) checkCalm(random func() *rand.Rand) {
	for _, gateway := range s.gateways {
		for _, version := range soakVersions {
			s.fleet.waitFor(fmt.Sprintf("a stream of %s to be taken up at %s", version, gateway), func() bool {
				if len(s.violations()) > 0 {
					return true
				}
				caller := &streamCaller{soak: s, random: random(), transport: &http.Transport{DisableKeepAlives: true}, gateways: s.gateways}
				return caller.takesUpAt(gateway, version)
			})
		}
	}
}
