package stand

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "transfer": a store machine loses its disk and, while it gets its state back, freezes for
// a few seconds. Later a final fault kills all processes. Turns that were answered whole before must
// be continued when the recovery is over.

const (
	retention = 60 * time.Second
	// contact, catchUp and recovery are the bounds contactMs, catchUpS and recoveryS.
	contact  = 3 * time.Second
	catchUp  = 4800 * time.Millisecond
	recovery = 12 * time.Second
	// lastPart is the end of the recovery in which other turns have to be served.
	lastPart = 4 * time.Second
	// freezeTime is the length of the freeze.
	freezeTime = 6 * time.Second
	inputBytes = 4000
	workers    = 48
	// earlyPerS and recentPerS are the rates of the turns whose retention ends during the freeze and
	// of those that are continued afterwards, and burstPerS the rate of turns that are not retained.
	earlyPerS  = 1200
	recentPerS = 300
	burstPerS  = 1500
	// keptPath and plainPath are paths of routes that retain turns and that don't.
	keptPath  = "/kept/4b"
	plainPath = "/triage/2f"
	// syncsAtFreeze is the number of writes that the store machine has synced when it freezes: its
	// state comes in some 60 of them.
	syncsAtFreeze = 20
)

// turn is a turn that was answered whole.
type turn struct {
	id, input, program, session string
	answeredAt                  time.Time
}

type transferCase struct {
	record  *record
	fleet   *fleet
	clients *clients
	engine  *modelEngine
	mutex   sync.Mutex
	turns   []turn
	failed  map[int]int
}

func transferConfiguration() string {
	route := func(name, prefix string, retain bool) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":"stream","timeoutMs":5000,"targetLatencyMs":200,"priority":0,"backend":%q,"maxAttempts":2,"retain":%t,"retentionS":%.1f,"sessionAffinity":true,"resumable":false,"targetGapMs":400}`,
			name, host, prefix, modelBackend, retain, retention.Seconds())
	}
	return fmt.Sprintf(`{"generation":7,"routes":[%s,%s],`+
		`"services":[{"name":%q,"healthPath":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCacheTokens":211374,"stride":25,"models":[{"name":"m"}]}}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, route("r-kept", "/kept/", true), route("r-plain", "/triage/", false), modelBackend)
}

// sendTurn sends one client attempt of a turn; previous is empty for the first turn of a program.
func (t *transferCase) sendTurn(path, program, session, previous, input string, avoid ...string) reply {
	headers := map[string]string{
		"Program-Id": program, "Session-Id": session, "Finish-Ms": "20000", "Deadline-Ms": "5000", "Token-Budget": "4600", "Token-Usage": "1840,575",
		"Model": "m", "Prompt-Prefix": "5c1e07a2:800," + newID() + ":250",
	}
	if previous != "" {
		headers["Previous-Turn"] = previous
	}
	return t.clients.send("POST", path, input, headers, avoid...)
}

// firstTurns begins programs at a rate until a time, and keeps the turns that were answered whole.
func (t *transferCase) firstTurns(path string, perSecond float64, until time.Time, keep bool) (asked, answered int) {
	var mutex sync.Mutex
	pool(workers, perSecond, until, func(int) bool {
		program, session := newID()[:14], newID()[:6]
		input := program + strings.Repeat("x", inputBytes)
		got := t.sendTurn(path, program, session, "", input)
		mutex.Lock()
		defer mutex.Unlock()
		asked++
		if got.status != 200 || !got.whole || !strings.Contains(got.body, fmt.Sprintf("%s/%d", got.id, eventsPerTurn)) {
			t.record.logf("first turn %s of %s at %s: status %d, whole %t", got.id, program, got.gateway, got.status, got.whole)
			return true
		}
		answered++
		if keep {
			t.mutex.Lock()
			t.turns = append(t.turns, turn{id: got.id, input: input, program: program, session: session, answeredAt: time.Now()})
			t.mutex.Unlock()
		}
		return true
	})
	return asked, answered
}

func runTransfer(record *record, fleet *fleet, trouble bool) {
	const gateways = 2
	t := &transferCase{record: record, fleet: fleet, failed: map[int]int{}}
	fleet.launch(gateways)
	fleet.configure(transferConfiguration(), gateways)
	t.engine = newModelEngine(record, "i-7f3a91c2")
	fleet.keepRegistered(modelBackend, t.engine.id, t.engine.address, "z0", 64)
	t.clients = newClients(fleet)
	for status := 0; status != 200; time.Sleep(50 * time.Millisecond) {
		status = t.sendTurn(keptPath, newID(), "s", "", "warm").status
		if time.Since(record.started) > 25*time.Second {
			record.cannotRun("no first turn was served")
		}
	}
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	asked, answered := t.firstTurns(keptPath, earlyPerS, at(4), false)
	record.logf("early first turns: %d sent, %d answered whole", asked, answered)
	t.firstTurns(keptPath, 2, at(58.5), false)
	asked, answered = t.firstTurns(keptPath, recentPerS, at(62.8), true)
	record.logf("recent first turns: %d sent, %d answered whole", asked, answered)
	if trouble {
		t.disturb(at(64.8))
	} else {
		time.Sleep(time.Until(at(64.8)))
		t.firstTurns(plainPath, burstPerS, at(71), false)
	}
	time.Sleep(catchUp + contact)
	t.finalFault()
	t.judge()
}

// disturb makes ledger-0 lose its disk, and freezes it while it gets its state back. Meanwhile many
// users come at once.
func (t *transferCase) disturb(restartAt time.Time) {
	f := t.fleet
	f.end("ledger-0", syscall.SIGKILL)
	f.wipe("ledger-0")
	t.record.logf("ledger-0 is killed and loses its disk")
	time.Sleep(time.Until(restartAt))
	f.start("ledger-0")
	t.record.logf("ledger-0 starts with an empty disk")
	burstEnd := time.Now().Add(freezeTime + 300*time.Millisecond)
	burst := make(chan struct{})
	go func() {
		defer close(burst)
		asked, answered := t.firstTurns(plainPath, burstPerS, burstEnd, false)
		t.record.logf("burst of first turns that are not retained: %d sent, %d answered whole", asked, answered)
	}()
	syncs := 0.0
	for deadline := time.Now().Add(6 * time.Second); syncs < syncsAtFreeze; syncs = f.metric("ledger-0", "ochrebay_store_syncs") {
		if time.Now().After(deadline) {
			t.record.cannotRun("ledger-0 gets no state")
		}
	}
	f.signal("ledger-0", syscall.SIGSTOP)
	t.record.logf("ledger-0 freezes after %.0f syncs", syncs)
	time.Sleep(freezeTime)
	f.signal("ledger-0", syscall.SIGCONT)
	t.record.logf("ledger-0 wakes")
	<-burst
}

// finalFault kills all processes and starts them again.
func (t *transferCase) finalFault() {
	t.record.logf("ledger-0 votes in %.0f groups and leads %.0f", t.fleet.metric("ledger-0", "ochrebay_ledger_groups_voting"), t.fleet.metric("ledger-0", "ochrebay_ledger_groups_led"))
	for name := range t.fleet.settings {
		t.fleet.signal(name, syscall.SIGKILL)
	}
	for name := range t.fleet.settings {
		t.fleet.end(name, syscall.SIGKILL)
	}
	t.fleet.firstStartIsOver()
	t.record.logf("final fault: all processes are killed")
	time.Sleep(time.Second)
	for name := range t.fleet.settings {
		t.fleet.start(name)
	}
	t.record.logf("all processes start again")
}

// judge lets new programs go on from the recent turns and ask until the recovery is over, and begins
// other programs beside them.
func (t *transferCase) judge() {
	r := t.record
	end := time.Now().Add(recovery)
	asked, reached := 0, 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.firstTurns(keptPath, 50, end.Add(-lastPart), false)
		asked, reached = t.firstTurns(keptPath, 50, end, false)
	}()
	var mutex sync.Mutex
	var group sync.WaitGroup
	lost, wrong, continued := 0, 0, 0
	for index, previous := range t.turns {
		group.Add(1)
		go func() {
			defer group.Done()
			// The programs begin at different times of the recovery.
			time.Sleep(time.Duration(float64(recovery-lastPart) * float64(index) / float64(len(t.turns))))
			outcome := t.continueTurn(previous, end)
			mutex.Lock()
			defer mutex.Unlock()
			switch outcome {
			case turnLost:
				lost++
			case turnWrong:
				wrong++
			case turnContinued:
				continued++
			}
		}()
	}
	group.Wait()
	<-done
	r.logf("of %d recent turns: %d continued, %d continued with another body, %d reached no engine by the end of the recovery", len(t.turns), continued, wrong, lost)
	r.logf("other turns in the last %.0f s: %d sent, %d served", lastPart.Seconds(), asked, reached)
	switch {
	case wrong > 0:
		r.end(exitBroken, "broken: UNASKED, %d turns ran with a body that is not their chain", wrong)
	case lost > 0 && reached*5 >= asked*4:
		r.end(exitBroken, "broken: LOST, after the final fault %d turns that go on from turns answered whole less than %.0f s ago reached no engine by recoveryS", lost, retention.Seconds())
	case lost > 0:
		r.cannotRun("%d turns reached no engine, but too few other turns were served", lost)
	}
}

type turnOutcome int

const (
	turnContinued turnOutcome = iota
	turnLost
	turnWrong
)

// continueTurn sends the first turn of a new program that goes on from a turn, until it reaches the
// engine or the recovery is over.
func (t *transferCase) continueTurn(previous turn, end time.Time) turnOutcome {
	input := "and now?"
	program, session := newID()[:14], newID()[:6]
	statuses := map[int]int{}
	var avoid []string
	for time.Now().Before(end) {
		got := t.sendTurn(keptPath, program, session, previous.id, input, avoid...)
		if body, ran := t.engine.ran(got.id); ran {
			if body != previous.input+output(previous.id)+input {
				t.record.logf("turn %s after %s ran with another body (%d bytes)", got.id, previous.id, len(body))
				return turnWrong
			}
			return turnContinued
		}
		statuses[got.status]++
		avoid = []string{got.gateway}
		time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
	}
	t.record.logf("turn after %s of program %s, answered whole %.1f s ago: no engine by the end of the recovery; statuses of the tries: %v", previous.id, previous.program, time.Since(previous.answeredAt).Seconds(), statuses)
	return turnLost
}
