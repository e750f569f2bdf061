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

// make soak sets these; the rounds and the seed of make test are the same every time.
var (
	soakRounds = flag.Int("soak.rounds", 7, "rounds of faults of TestSoak")
	soakSeed   = flag.Uint64("soak.seed", 1, "seed of TestSoak's faults")
	soakBeside = flag.String("soak.beside", "", "binary of another release, which TestSoak's processes run at every other start or so")
)

const (
	soakGateways = 2
	soakEngines  = 3
	soakCallers  = 6
	soakGroups   = 3
)

// soakFaultRound is one round's fault: it is done and undone by one call.
type soakFaultRound struct {
	name string
	do   func(s *soak, random *rand.Rand)
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

func oneOf(random *rand.Rand, names []string) string { return names[random.IntN(len(names))] }

// soakFaults are the faults that the platform's pages name and that processes on one
// machine can suffer. At most one disk is lost at a time, as the fleet tolerates.
var soakFaults = []soakFaultRound{
	{"one process is killed", func(s *soak, random *rand.Rand) {
		s.restart(oneOf(random, allSoakProcesses()), syscall.SIGKILL, false)
	}},
	{"one process is frozen", func(s *soak, random *rand.Rand) {
		s.freeze(oneOf(random, allSoakProcesses()), time.Duration(300+random.IntN(2500))*time.Millisecond)
	}},
	{"one process is stopped and started", func(s *soak, random *rand.Rand) {
		s.restart(oneOf(random, allSoakProcesses()), syscall.SIGTERM, false)
	}},
	{"a ledger host loses its disk", func(s *soak, random *rand.Rand) {
		s.restart(oneOf(random, soakProcesses("ledger")), syscall.SIGKILL, true)
	}},
	{"a control process loses its disk", func(s *soak, random *rand.Rand) {
		s.restart(oneOf(random, soakProcesses("control")), syscall.SIGKILL, true)
	}},
	{"all processes of a role are killed", func(s *soak, random *rand.Rand) {
		s.killTogether(soakProcesses(oneOf(random, []string{"control", "ledger", "gateway"})))
	}},
	{"everything is killed", func(s *soak, _ *rand.Rand) { s.killTogether(allSoakProcesses()) }},
}

func (s *soak) started(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lives[name]++
}

// restart ends a process by a signal and starts it again, with an empty disk where asked.
func (s *soak) restart(name string, signal syscall.Signal, wipe bool) {
	process := s.fleet.processes[name]
	s.started(name)
	_ = process.Process.Signal(signal)
	_ = process.Wait()
	if wipe {
		s.wipe(name)
	}
	s.fleet.start(name)
	s.started(name)
}

// wipe empties a process's data folder. Its settings say from then on, as the platform
// does, that the system does not start for the first time.
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

// killTogether kills processes at the same moment and starts them again.
func (s *soak) killTogether(names []string) {
	for _, name := range names {
		s.started(name)
		_ = s.fleet.processes[name].Process.Kill()
	}
	for _, name := range names {
		_ = s.fleet.processes[name].Wait()
	}
	for _, name := range names {
		s.fleet.start(name)
		s.started(name)
	}
}

func (s *soak) freeze(name string, duration time.Duration) {
	process := s.fleet.processes[name].Process
	_ = process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = process.Signal(syscall.SIGCONT)
}

var metricLine = regexp.MustCompile(`(?m)^ochrebay_ledger_groups_voting (\S+)$`)

// healed reports whether every process does its work again: control takes part, each
// ledger host counts in all quorums, each gateway takes requests.
func (s *soak) healed() bool {
	for _, name := range soakProcesses("ledger") {
		answer, err := send("GET", "http://"+s.fleet.addresses["http-"+name]+"/metrics", "", nil)
		if err != nil {
			return false
		}
		match := metricLine.FindStringSubmatch(answer.body)
		if match == nil {
			return false
		}
		if voting, _ := strconv.ParseFloat(match[1], 64); voting != soakGroups {
			return false
		}
	}
	for _, name := range append(soakProcesses("control"), soakProcesses("gateway")...) {
		answer, err := send("GET", "http://"+s.fleet.addresses["http-"+name]+"/readyz", "", nil)
		if err != nil || answer.status != 200 {
			return false
		}
	}
	return true
}

// heartbeats reports the engines to any control process until the channel ends. Now and
// then an engine leaves and another one comes at its address, or it starts again under the id
// that it had; late reports of the life before follow, and reports that others write.
func (s *soak) heartbeats(random *rand.Rand, engines []*soakEngine, stop <-chan struct{}) {
	for round := 1; pause(stop, 200*time.Millisecond); round++ {
		for position, engine := range engines {
			id, late := engine.report(position)
			switch random.IntN(80) {
			case 0:
				_, body := engine.leave()
				s.tell(random, "/ochrebay/Instances.Leave/"+id, body)
				engine.startAgain(fmt.Sprintf("engine-%d-%d", position, round))
			case 1:
				engine.startAgain(id)
			case 2:
				s.tell(random, "/ochrebay/Instances.Heartbeat/"+id, foreignReport(random, late))
			}
			current, body := engine.report(position)
			s.tell(random, "/ochrebay/Instances.Heartbeat/"+current, body)
			if random.IntN(10) == 0 {
				s.tell(random, "/ochrebay/Instances.Heartbeat/"+id, late)
			}
		}
	}
}

// foreignReport spoils an engine's report as others that write to the registry do. Beside an
// earlier release, which takes such a report for the engine's, only its bytes are spoilt.
func foreignReport(random *rand.Rand, report string) string {
	if *soakBeside != "" {
		return report[:len(report)/2]
	}
	return [...]string{
		report[:len(report)/2], strings.Replace(report, `"state":"ready"`, `"state":"retired"`, 1), strings.Replace(report, `"backend":"b",`, ``, 1),
		strings.Replace(report, `"seq":`, `"seq":"x`, 1), strings.Replace(report, `"backend":"b"`, `"backend":["b"]`, 1), "\xff\xfe",
	}[random.IntN(6)]
}

func (s *soak) tell(random *rand.Rand, path, body string) {
	_, _ = send("POST", "http://"+s.control(random)+path, body, nil)
}

// soakBinary draws at each start of a process which of the two releases it runs, nil where
// there is one.
func soakBinary(random *rand.Rand) func(name string) string {
	if *soakBeside == "" {
		return nil
	}
	return func(string) string { return [...]string{testBinary, *soakBeside}[random.IntN(2)] }
}

// TestSoak runs a fleet of real processes under load and strikes it with faults drawn at
// random, one after the other. It judges what callers, engines and the operator have
// seen; how long anything took is not judged.
func TestSoak(t *testing.T) {
	t.Logf("seed %d, %d rounds", *soakSeed, *soakRounds)
	fleet := startMixedFleet(t, soakBinary(rand.New(rand.NewPCG(*soakSeed, 5))))
	s := &soak{fleet: fleet, runs: newSoakRuns(), lives: map[string]int{}}
	random := func(part uint64) *rand.Rand { return rand.New(rand.NewPCG(*soakSeed, part)) }
	var engines []*soakEngine
	for number := range uint64(soakEngines) {
		engines = append(engines, newSoakEngine(t, s.runs, number))
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { s.heartbeats(random(1), engines, stop) })
	running.Go(func() { s.operate(random(2), stop) })
	for number := range soakCallers {
		running.Go(func() {
			own := random(uint64(100 + number))
			for pause(stop, time.Duration(own.IntN(20))*time.Millisecond) {
				s.call(own)
			}
		})
	}
	for _, name := range soakProcesses("gateway") {
		running.Go(func() { s.watchGateway(name, stop) })
	}
	s.strike(random(3))
	close(stop)
	running.Wait()
	s.goOnWithAll(random(4))
	s.checkRuns()
	t.Logf("%d requests, %d served, generation %d acknowledged, %d lines of turns", s.requests.Load(), s.served.Load(), s.acknowledged.Load(), len(s.lines))
	if broken := s.violations(); len(broken) > 0 {
		t.Fatalf("%d rules broken:\n%s", len(broken), strings.Join(broken[:min(len(broken), 20)], "\n"))
	}
	if s.served.Load() == 0 || len(s.lines) == 0 {
		t.Fatal("nothing was served")
	}
}

// strike plays the rounds of faults; every fault once before any comes again.
func (s *soak) strike(random *rand.Rand) {
	var order []int
	for round := range *soakRounds {
		s.fleet.until("healing", s.healed)
		before := s.served.Load()
		s.fleet.until("service", func() bool { return s.served.Load() > before+20 })
		if len(order) == 0 {
			order = random.Perm(len(soakFaults))
		}
		fault := soakFaults[order[0]]
		order = order[1:]
		s.fleet.t.Logf("round %d: %s", round, fault.name)
		fault.do(s, random)
		if len(s.violations()) > 0 {
			break
		}
	}
	s.fleet.until("healing after the last round", s.healed)
}

// goOnWithAll goes on with the latest lines of turns: none may be lost.
func (s *soak) goOnWithAll(random *rand.Rand) {
	const latest = 40
	for _, line := range s.lines[max(0, len(s.lines)-latest):] {
		line.turns = 0
		s.fleet.until("a further turn of "+line.program, func() bool {
			return len(s.violations()) > 0 || s.goOn(random, &line, "<again>")
		})
	}
}
