package stand

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The fault "orphans" is not one of the three cases. Three store machines are added to three. Then the
// first three lose power at once and come back one after the other, each with its disk. When all have
// been back for recoveryS, a final fault kills all processes. No disk is lost, so that turns that were
// answered whole must be continued afterwards.

const (
	// firstBack is how long the first store machine is away, and storeGap the time between the returns
	// of two of them.
	firstBack  = 4 * time.Second
	storeGap   = 5800 * time.Millisecond
	keptTurns  = 200
	addedStore = 3
)

func runOrphans(record *record, fleet *fleet, trouble bool) {
	const gateways = 2
	t := &transferCase{record: record, fleet: fleet}
	fleet.launch(gateways)
	fleet.configure(transferConfiguration(), gateways)
	t.engine = newModelEngine(record, "i-7f3a91c2")
	fleet.keepRegistered(modelBackend, t.engine.id, t.engine.address, "z0", 64)
	t.clients = newClients(fleet)
	t.awaitTurns()
	fleet.firstStartIsOver()
	for number := range addedStore {
		name := fmt.Sprintf("ledger-%d", 3+number)
		fleet.define(name, processSettings{role: "ledger", zone: fmt.Sprintf("z%d", number), inner: freeAddress()})
		fleet.start(name)
		record.logf("%s is added", name)
	}
	time.Sleep(catchUp)
	t.firstTurns(keptPath, 100, time.Now().Add(keptTurns/100*time.Second), true)
	record.logf("%d turns were answered whole", len(t.turns))
	time.Sleep(time.Second)
	if trouble {
		for number := range 3 {
			fleet.end(fmt.Sprintf("ledger-%d", number), syscall.SIGKILL)
		}
		record.logf("ledger-0, ledger-1 and ledger-2 lose power")
		time.Sleep(firstBack)
		for number := range 3 {
			name := fmt.Sprintf("ledger-%d", number)
			fleet.start(name)
			record.logf("%s comes back with its disk", name)
			if number < 2 {
				time.Sleep(storeGap)
			}
		}
	}
	record.logf("all machines are back")
	time.Sleep(recovery)
	for number := range 3 + addedStore {
		name := fmt.Sprintf("ledger-%d", number)
		record.logf("%s holds %.0f groups, votes in %.0f and leads %.0f", name, fleet.metric(name, "ochrebay_ledger_groups_hosted"), fleet.metric(name, "ochrebay_ledger_groups_voting"), fleet.metric(name, "ochrebay_ledger_groups_led"))
	}
	t.finalFault()
	time.Sleep(recovery - lastPart)
	t.judgeRecovery()
}

// awaitTurns waits until first turns are served.
func (t *transferCase) awaitTurns() {
	for status := 0; status != 200; time.Sleep(50 * time.Millisecond) {
		status = t.sendTurn(keptPath, newID(), "s", "", "warm").status
		if time.Since(t.record.started) > 25*time.Second {
			t.record.cannotRun("no first turn was served")
		}
	}
}

// judgeRecovery asks for all turns for 4 s, and begins other programs beside them.
func (t *transferCase) judgeRecovery() {
	r := t.record
	end := time.Now().Add(lastPart)
	asked, reached := 0, 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		asked, reached = t.firstTurns(keptPath, 50, end, false)
	}()
	var mutex sync.Mutex
	var group sync.WaitGroup
	lost, wrong := 0, 0
	for _, previous := range t.turns {
		group.Add(1)
		go func() {
			defer group.Done()
			outcome := t.continueTurn(previous, end)
			mutex.Lock()
			defer mutex.Unlock()
			switch outcome {
			case turnLost:
				lost++
			case turnWrong:
				wrong++
			}
		}()
	}
	group.Wait()
	<-done
	r.logf("of %d turns answered whole before the final fault: %d reach no engine in the last %.0f s, %d run with another body", len(t.turns), lost, lastPart.Seconds(), wrong)
	r.logf("first turns beside: %d sent, %d served", asked, reached)
	if lost+wrong > 0 {
		r.end(exitBroken, "broken: LOST, %d of %d turns answered whole less than %.0f s ago reach no engine in the last 4 s of recoveryS after the final fault, with the engine idle; %d of %d first turns are served then", lost, len(t.turns), retention.Seconds(), reached, asked)
	}
}
