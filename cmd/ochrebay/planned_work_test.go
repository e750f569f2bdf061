package main

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	plannedCallers = 6
	plannedEngines = 3
	// plannedEventPause makes a stream last a few tenths of a second, so that each kind of
	// planned work happens while streams are in progress.
	plannedEventPause = 60 * time.Millisecond
	// maxGap is the longest time between two kinds of planned work: all five happen within
	// one second.
	maxGap = 200 * time.Millisecond
	// settleTime is how long callers continue after the last kind of planned work.
	settleTime = 300 * time.Millisecond
	// plannedCases is the number of orders that are tested by default, without -rapid.checks. Each
	// takes about 4 s, the time for which a gateway continues to serve after a stop.
	plannedCases = "6"
	// plannedDeadline is the deadline of the callers. It is shorter than what is left of a drain at the end of the
	// planned work, so that a draining gateway takes their requests.
	plannedDeadline = 5 * time.Second
	// heartbeatInterval is the interval between reports of the fake engines.
	heartbeatInterval = time.Second
)

// plannedWorkFleet is a fleet with several engines that report periodically.
type plannedWorkFleet struct {
	*platformFleet
	engines []*fakeEngine
	// draining is the index of the engine that reports that it is draining, -1 for none.
	draining   atomic.Int64
	sequence   atomic.Int64
	generation int
	cases      int
	requests   atomic.Int64
}

func newPlannedWorkFleet(t *testing.T) *plannedWorkFleet {
	fleet := &plannedWorkFleet{platformFleet: startPlatformFleet(t), generation: 1}
	fleet.draining.Store(-1)
	for number := range plannedEngines {
		engine := newFakeEngine(t, fmt.Sprintf("engine-%d", number+1))
		engine.pause = plannedEventPause
		fleet.engines = append(fleet.engines, engine)
	}
	fleet.sendToControl("POST", "/ochrebay/Config.Replace", configuration(fleet.generation))
	ctx, stop := context.WithCancel(context.Background())
	var reporting sync.WaitGroup
	reporting.Go(func() {
		for ctx.Err() == nil {
			fleet.report(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatInterval):
			}
		}
	})
	t.Cleanup(func() {
		stop()
		reporting.Wait()
	})
	return fleet
}

// report sends one heartbeat of each engine to the first control process that accepts it.
func (s *plannedWorkFleet) report(ctx context.Context) {
	for number, engine := range s.engines {
		state := "ready"
		if int64(number) == s.draining.Load() {
			state = "draining"
		}
		body := heartbeatBody(engine.address, state, int(s.sequence.Add(1)))
		for _, address := range s.operators {
			reply, err := sendContext(ctx, "POST", "http://"+address+"/ochrebay/Instances.Heartbeat/"+engine.id, body, nil)
			if err == nil && reply.status < 300 {
				break
			}
		}
	}
}

// runCount returns how often engines started to execute a request.
func (s *plannedWorkFleet) runCount(id string) int {
	runs := 0
	for _, engine := range s.engines {
		runs += engine.runCount(id)
	}
	return runs
}

// startGateway starts a gateway for one test case and waits until it serves.
func (s *plannedWorkFleet) startGateway() string {
	s.cases++
	name := fmt.Sprintf("gateway-planned%d", s.cases)
	s.addresses[name] = freeAddress(s.t)
	s.addresses["ready-"+name] = freeAddress(s.t)
	s.writeSettings(name, "gateway", 0, freeAddress(s.t), []string{s.addresses["control-0"], s.addresses["control-1"], s.addresses["control-2"]},
		fmt.Sprintf("  callers: %s\n  readiness: %s\n", s.addresses[name], s.addresses["ready-"+name]))
	s.start(name)
	s.waitFor("a stream to be served", func() bool {
		reply, _ := s.sendStream(name)
		return reply.status == 200 && !reply.isTruncated
	})
	return name
}

// sendStream sends one turn that is retained. The status is 0 if there was no response.
func (s *plannedWorkFleet) sendStream(gateway string) (reply response, id string) {
	number := s.requests.Add(1)
	id = fmt.Sprintf("planned-%d", number)
	headers := map[string]string{
		"Host": testHost, "Request-Id": id, "Deadline-Ms": fmt.Sprint(plannedDeadline.Milliseconds()), "Program-Id": fmt.Sprintf("planned-%d", number),
		"Session-Id": "s", "Token-Usage": "10,50", "Token-Budget": "10000",
	}
	reply, err := send("POST", "http://"+s.addresses[gateway]+"/kept/", "input", headers)
	if err != nil {
		return response{isTruncated: true}, id
	}
	return reply, id
}

// controlLeader waits for a control process that leads its group, and returns its name.
func (s *plannedWorkFleet) controlLeader() string {
	leader := ""
	s.waitFor("a leader of the control group", func() bool {
		for number := range 3 {
			name := fmt.Sprintf("control-%d", number)
			reply, err := send("GET", "http://"+s.addresses["http-"+name]+"/metrics", "", nil)
			if err == nil && strings.Contains(reply.body, "\nochrebay_groups_led 1") {
				leader = name
				return true
			}
		}
		return false
	})
	return leader
}

// plannedWork maps each kind of planned work to the function that starts it.
func (s *plannedWorkFleet) plannedWork(gateway, leader string) map[string]func() {
	process := s.processes[gateway].Process
	signal := func(number syscall.Signal) func() {
		return func() { _ = process.Signal(number) }
	}
	return map[string]func(){
		"stop":    signal(syscall.SIGTERM),
		"reload":  signal(syscall.SIGHUP),
		"routing": func() { s.sendToControl("POST", "/ochrebay/Config.Replace", configuration(s.generation)) },
		"drain": func() {
			s.draining.Store(int64(s.cases % plannedEngines))
			s.report(context.Background())
		},
		"leader": func() { s.kill(leader) },
	}
}

// plannedOutcome is the response to one request of a caller. isLate means that it came after the deadline.
type plannedOutcome struct {
	id     string
	reply  response
	isLate bool
}

// callWhile lets callers send requests to a gateway while work runs, and returns their outcomes.
func (s *plannedWorkFleet) callWhile(gateway string, work func()) []plannedOutcome {
	var mutex sync.Mutex
	var outcomes []plannedOutcome
	var callers sync.WaitGroup
	done := make(chan struct{})
	for range plannedCallers {
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				sentAt := time.Now()
				reply, id := s.sendStream(gateway)
				mutex.Lock()
				outcomes = append(outcomes, plannedOutcome{id, reply, time.Since(sentAt) >= plannedDeadline})
				mutex.Unlock()
				if reply.status == 0 {
					return
				}
			}
		})
	}
	work()
	time.Sleep(settleTime)
	close(done)
	callers.Wait()
	return outcomes
}

// TestGatewayUnderPlannedWork checks that a stop, a reload, a new routing table, a draining
// engine and the loss of the control leader, in any order within a second, truncate no stream
// and leave no request without a response. A request may be rejected if it was not executed.
func TestGatewayUnderPlannedWork(t *testing.T) {
	fleet := newPlannedWorkFleet(t)
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		if err := checks.Value.Set(plannedCases); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = checks.Value.Set(checks.DefValue) }()
	}
	rapid.Check(t, func(rt *rapid.T) {
		order := rapid.Permutation([]string{"stop", "reload", "routing", "drain", "leader"}).Draw(rt, "order")
		gaps := rapid.SliceOfN(rapid.IntRange(0, int(maxGap.Milliseconds())), len(order), len(order)).Draw(rt, "gaps in ms")
		fleet.generation++
		gateway := fleet.startGateway()
		leader := fleet.controlLeader()
		work := fleet.plannedWork(gateway, leader)
		outcomes := fleet.callWhile(gateway, func() {
			var running sync.WaitGroup
			for position, name := range order {
				time.Sleep(time.Duration(gaps[position]) * time.Millisecond)
				running.Go(work[name])
			}
			running.Wait()
		})
		if err := fleet.processes[gateway].Wait(); err != nil {
			rt.Errorf("the gateway did not exit cleanly after its stop: %v", err)
		}
		delete(fleet.processes, gateway)
		for _, outcome := range outcomes {
			isComplete := outcome.reply.status == 200 && !outcome.reply.isTruncated && strings.Count(outcome.reply.body, "data:") == eventCount
			if !isComplete && !outcome.isLate && (outcome.reply.isTruncated || fleet.runCount(outcome.id) > 0) {
				rt.Errorf("request %s, executed %d times, ended with %+v", outcome.id, fleet.runCount(outcome.id), outcome.reply)
			}
		}
		fleet.draining.Store(-1)
		fleet.start(leader)
	})
}
