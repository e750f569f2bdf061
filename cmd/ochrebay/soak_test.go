package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// make soak sets these flags; make test uses the same rounds and seed every time.
var (
	soakRounds      = flag.Int("soak.rounds", 7, "number of fault rounds in TestSoak")
	soakSeed        = flag.Uint64("soak.seed", 1, "seed of the faults in TestSoak")
	soakOtherBinary = flag.String("soak.beside", "", "binary of another release, which the processes of TestSoak run at about every other start")
)

const (
	soakGateways = 2
	soakEngines  = 3
	soakCallers  = 6
	soakGroups   = 3
)

// soakFault is the fault of one round; inject causes the fault and ends it.
type soakFault struct {
	name   string
	inject func(s *soak, random *rand.Rand)
}

func soakProcesses(role string) []string {
	count := 3
	if role == "gateway" {
		count = soakGateways
	}
	var names []string
	for number := range count {
		names = append(names, fmt.Sprintf("%s-%d", role, number))
	}
	return names
}

func allSoakProcesses() []string {
	return append(append(soakProcesses("control"), soakProcesses("ledger")...), soakProcesses("gateway")...)
}

func pickName(random *rand.Rand, names []string) string { return names[random.IntN(len(names))] }

// soakFaults are the faults in the platform's documentation that can be injected on one machine. At
// most one disk is lost at a time, which is what the fleet tolerates.
var soakFaults = []soakFault{
	{"one process is killed", func(s *soak, random *rand.Rand) {
		s.restart(pickName(random, allSoakProcesses()), syscall.SIGKILL, false)
	}},
	{"one process is frozen", func(s *soak, random *rand.Rand) {
		s.freeze(pickName(random, allSoakProcesses()), time.Duration(300+random.IntN(2500))*time.Millisecond)
	}},
	{"one process is stopped and started", func(s *soak, random *rand.Rand) {
		s.restart(pickName(random, allSoakProcesses()), syscall.SIGTERM, false)
	}},
	{"a ledger host loses its disk", func(s *soak, random *rand.Rand) {
		s.restart(pickName(random, soakProcesses("ledger")), syscall.SIGKILL, true)
	}},
	{"a control process loses its disk", func(s *soak, random *rand.Rand) {
		s.restart(pickName(random, soakProcesses("control")), syscall.SIGKILL, true)
	}},
	{"all processes of a role are killed", func(s *soak, random *rand.Rand) {
		s.killTogether(soakProcesses(pickName(random, []string{"control", "ledger", "gateway"})))
	}},
	{"everything is killed", func(s *soak, _ *rand.Rand) { s.killTogether(allSoakProcesses()) }},
}

func (s *soak) advanceIncarnation(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.incarnations[name]++
}

// restart stops a process with a signal and starts it again, with an empty disk if wipe is set.
func (s *soak) restart(name string, signal syscall.Signal, wipe bool) {
	process := s.fleet.processes[name]
	s.advanceIncarnation(name)
	_ = process.Process.Signal(signal)
	_ = process.Wait()
	if wipe {
		s.wipe(name)
	}
	s.fleet.start(name)
	s.advanceIncarnation(name)
}

// wipe removes the data folder of a process. It also clears bootstrap in its settings, as the
// platform does, since the system does not start for the first time.
func (s *soak) wipe(name string) {
	if err := os.RemoveAll(filepath.Join(s.fleet.folder, "data", name)); err != nil {
		s.fleet.t.Fatal(err)
	}
	file := filepath.Join(s.fleet.folder, name+".yaml")
	settings, err := os.ReadFile(file)
	if err == nil {
		err = os.WriteFile(file, []byte(strings.Replace(string(settings), "bootstrap: true", "bootstrap: false", 1)), 0o600)
	}
	if err != nil {
		s.fleet.t.Fatal(err)
	}
}

// killTogether kills processes at the same time and starts them again.
func (s *soak) killTogether(names []string) {
	for _, name := range names {
		s.advanceIncarnation(name)
		_ = s.fleet.processes[name].Process.Kill()
	}
	for _, name := range names {
		_ = s.fleet.processes[name].Wait()
	}
	for _, name := range names {
		s.fleet.start(name)
		s.advanceIncarnation(name)
	}
}

func (s *soak) freeze(name string, duration time.Duration) {
	process := s.fleet.processes[name].Process
	_ = process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = process.Signal(syscall.SIGCONT)
}

var metricLine = regexp.MustCompile(`(?m)^ochrebay_ledger_groups_voting (\S+)$`)

// isHealthy reports whether every process has recovered: control processes and gateways are
// ready, and each ledger host is a voter of all groups.
func (s *soak) isHealthy() bool {
	for _, name := range soakProcesses("ledger") {
		reply, err := send("GET", "http://"+s.fleet.addresses["http-"+name]+"/metrics", "", nil)
		if err != nil {
			return false
		}
		match := metricLine.FindStringSubmatch(reply.body)
		if match == nil {
			return false
		}
		if voting, _ := strconv.ParseFloat(match[1], 64); voting != soakGroups {
			return false
		}
	}
	for _, name := range append(soakProcesses("control"), soakProcesses("gateway")...) {
		reply, err := send("GET", "http://"+s.fleet.addresses["http-"+name]+"/readyz", "", nil)
		if err != nil || reply.status != 200 {
			return false
		}
	}
	return true
}

// sendHeartbeats reports the engines to random control processes until stop is closed. From time to
// time, an engine leaves and another one starts at its address, or an engine restarts under the
// same ID. It also sends delayed reports, some of them of the previous incarnation, and malformed
// reports.
func (s *soak) sendHeartbeats(random *rand.Rand, engines []*soakEngine, stop <-chan struct{}) {
	for round := 1; pause(stop, 200*time.Millisecond); round++ {
		for index, engine := range engines {
			id, delayedReport := engine.report(index)
			switch random.IntN(80) {
			case 0:
				_, body := engine.leave()
				s.post(random, "/ochrebay/Instances.Leave/"+id, body)
				engine.restart(fmt.Sprintf("engine-%d-%d", index, round))
			case 1:
				engine.restart(id)
			case 2:
				s.post(random, "/ochrebay/Instances.Heartbeat/"+id, malformedReport(random, delayedReport))
			}
			current, body := engine.report(index)
			s.post(random, "/ochrebay/Instances.Heartbeat/"+current, body)
			if random.IntN(10) == 0 {
				s.post(random, "/ochrebay/Instances.Heartbeat/"+id, delayedReport)
			}
		}
	}
}

// malformedReport corrupts an engine's report, as other programs that write to the registry do.
// If processes of an earlier release run too, the report is only truncated, since that release
// accepts the other malformed reports as reports of the engine.
func malformedReport(random *rand.Rand, report string) string {
	if *soakOtherBinary != "" {
		return report[:len(report)/2]
	}
	return [...]string{
		report[:len(report)/2], strings.Replace(report, `"state":"ready"`, `"state":"retired"`, 1), strings.Replace(report, `"backend":"b",`, ``, 1),
		strings.Replace(report, `"seq":`, `"seq":"x`, 1), strings.Replace(report, `"backend":"b"`, `"backend":["b"]`, 1), "\xff\xfe",
	}[random.IntN(6)]
}

func (s *soak) post(random *rand.Rand, path, body string) {
	_, _ = send("POST", "http://"+s.pickControl(random)+path, body, nil)
}

// soakBinary returns a function that chooses one of the two releases at random for each start of
// a process; nil if there is only one release.
func soakBinary(random *rand.Rand) func(name string) string {
	if *soakOtherBinary == "" {
		return nil
	}
	return func(string) string { return [...]string{testBinary, *soakOtherBinary}[random.IntN(2)] }
}

// TestSoak runs a fleet of real processes under load and injects random faults one after the
// other. It checks what callers, engines and the operator observe, but no latencies.
func TestSoak(t *testing.T) {
	t.Logf("seed %d, %d rounds", *soakSeed, *soakRounds)
	fleet := startFleetWithBinaries(t, soakBinary(rand.New(rand.NewPCG(*soakSeed, 5))))
	s := &soak{fleet: fleet, runs: newSoakRuns(), incarnations: map[string]int{}}
	random := func(part uint64) *rand.Rand { return rand.New(rand.NewPCG(*soakSeed, part)) }
	var engines []*soakEngine
	for number := range uint64(soakEngines) {
		engines = append(engines, newSoakEngine(t, s.runs, number))
	}
	stop, stopHeartbeats := make(chan struct{}), make(chan struct{})
	var running, reporting sync.WaitGroup
	reporting.Go(func() { s.sendHeartbeats(random(1), engines, stopHeartbeats) })
	running.Go(func() { s.replaceConfigurations(random(2), stop) })
	for number := range soakCallers {
		running.Go(func() {
			callerRandom := random(uint64(100 + number))
			for pause(stop, time.Duration(callerRandom.IntN(20))*time.Millisecond) {
				s.runProgram(callerRandom)
			}
		})
	}
	for _, name := range soakProcesses("gateway") {
		running.Go(func() { s.watchGateway(name, stop) })
	}
	s.injectFaults(random(3))
	close(stop)
	running.Wait()
	// Control removes engines that stop reporting, so they report until the last turn.
	s.continueLatestChains(random(4))
	close(stopHeartbeats)
	reporting.Wait()
	s.checkRuns()
	t.Logf("%d requests, %d served, generation %d acknowledged, %d turn chains", s.requests.Load(), s.served.Load(), s.acknowledged.Load(), len(s.chains))
	if violations := s.violations(); len(violations) > 0 {
		t.Fatalf("%d violations:\n%s", len(violations), strings.Join(violations[:min(len(violations), 20)], "\n"))
	}
	if s.served.Load() == 0 || len(s.chains) == 0 {
		t.Fatal("no request was served, or no turn chain was built")
	}
}

// injectFaults runs the fault rounds, in permutations of all faults, so that no fault recurs
// before every other one has occurred.
func (s *soak) injectFaults(random *rand.Rand) {
	var order []int
	for round := range *soakRounds {
		s.fleet.waitFor("all processes to recover", s.isHealthy)
		before := s.served.Load()
		s.fleet.waitFor("requests to be served", func() bool { return s.served.Load() > before+20 })
		if len(order) == 0 {
			order = random.Perm(len(soakFaults))
		}
		fault := soakFaults[order[0]]
		order = order[1:]
		s.fleet.t.Logf("round %d: %s", round, fault.name)
		fault.inject(s, random)
		if len(s.violations()) > 0 {
			break
		}
	}
	s.fleet.waitFor("all processes to recover after the last round", s.isHealthy)
}

// continueLatestChains adds a turn to each of the latest turn chains, to check that none was lost.
func (s *soak) continueLatestChains(random *rand.Rand) {
	const latest = 40
	for _, chain := range s.chains[max(0, len(s.chains)-latest):] {
		chain.turnCount = 0
		s.fleet.waitFor("another turn of program "+chain.program, func() bool {
			return len(s.violations()) > 0 || s.continueChain(random, &chain, "<again>")
		})
	}
}
