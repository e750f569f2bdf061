package stand

import (
	"fmt"
	"syscall"
	"time"
)

// The case "shrink": a store machine is added to three. Then one of the three loses power for some
// seconds and keeps its disk. While the added machine takes its place, another of the three loses its
// disk. When all have been back for recoveryS, a final fault kills all processes. Only one disk is lost,
// so that turns that were answered whole must be continued afterwards.

const (
	// powerOff is how long the first machine is without power, and diskLossOff how long the second one
	// is down.
	powerOff    = 5 * time.Second
	diskLossOff = 2 * time.Second
	addedHost   = "ledger-3"
	// afterPlacement is the time from the moment at which the added machine holds all groups until the
	// disk is lost. Its state comes in that time; it votes about 50 ms later.
	afterPlacement = 200 * time.Millisecond
	// meanwhilePerS is the rate of first turns while the first machine is without power.
	meanwhilePerS = 20
)

func runShrink(record *record, fleet *fleet, trouble bool) {
	const gateways = 2
	t := &transferCase{record: record, fleet: fleet}
	fleet.launch(gateways)
	fleet.configure(transferConfiguration(), gateways)
	t.engine = newModelEngine(record, "i-7f3a91c2")
	fleet.keepRegistered(modelBackend, t.engine.id, t.engine.address, "z0", 64)
	t.clients = newClients(fleet)
	t.awaitTurns()
	fleet.firstStartIsOver()
	fleet.define(addedHost, processSettings{role: "ledger", zone: "z0", inner: freeAddress()})
	fleet.start(addedHost)
	record.logf("%s is added", addedHost)
	time.Sleep(catchUp)
	t.firstTurns(keptPath, 100, time.Now().Add(keptTurns/100*time.Second), true)
	record.logf("%d turns were answered whole", len(t.turns))
	time.Sleep(time.Second)
	if trouble {
		t.loseOneDisk()
	}
	record.logf("all machines are back")
	time.Sleep(recovery)
	for number := range 4 {
		name := fmt.Sprintf("ledger-%d", number)
		record.logf("%s holds %.0f groups, votes in %.0f and leads %.0f", name, fleet.metric(name, "ochrebay_ledger_groups_hosted"), fleet.metric(name, "ochrebay_ledger_groups_voting"), fleet.metric(name, "ochrebay_ledger_groups_led"))
	}
	t.finalFault()
	time.Sleep(recovery - lastPart)
	t.judgeRecovery()
}

// loseOneDisk takes power from ledger-0 and, while ledger-3 takes its place, the disk from that one of
// ledger-1 and ledger-2 that leads more groups.
func (t *transferCase) loseOneDisk() {
	f := t.fleet
	f.end("ledger-0", syscall.SIGKILL)
	offAt := time.Now()
	t.record.logf("ledger-0 loses power, and keeps its disk")
	meanwhile := make(chan struct{})
	go func() {
		defer close(meanwhile)
		asked, answered := t.firstTurns(keptPath, meanwhilePerS, offAt.Add(powerOff), false)
		t.record.logf("first turns meanwhile: %d sent, %d answered whole", asked, answered)
	}()
	victim := "ledger-1"
	if f.metric("ledger-2", "ochrebay_ledger_groups_led") > f.metric("ledger-1", "ochrebay_ledger_groups_led") {
		victim = "ledger-2"
	}
	for f.metric(addedHost, "ochrebay_ledger_groups_hosted") < ledgerGroups {
		if time.Since(offAt) > powerOff {
			t.record.cannotRun("%s does not take the place of ledger-0", addedHost)
		}
	}
	time.Sleep(afterPlacement)
	voting := f.metric(addedHost, "ochrebay_ledger_groups_voting")
	f.end(victim, syscall.SIGKILL)
	lostAt := time.Since(offAt)
	f.wipe(victim)
	t.record.logf("%s is killed %.3f s later and loses its disk; just before, %s voted in %.0f of %d groups", victim, lostAt.Seconds(), addedHost, voting, ledgerGroups)
	time.Sleep(diskLossOff)
	f.start(victim)
	t.record.logf("%s starts with an empty disk", victim)
	time.Sleep(time.Until(offAt.Add(powerOff)))
	f.start("ledger-0")
	<-meanwhile
	t.record.logf("ledger-0 comes back with its disk")
}
