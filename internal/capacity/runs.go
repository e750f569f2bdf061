package capacity

import (
	"fmt"
	"time"

	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/settings"
)

// measureProgramHeaders measures a ledger of count program headers: its memory, its
// snapshot, a restart from the snapshot and the check for idle programs.
func measureProgramHeaders(count int) ([]Measurement, error) {
	before := heapBytes()
	ledger := buildLedger(count, turnsPerProgram)
	memory := heapBytes() - before
	startedAt := time.Now()
	data, err := ledger.Snapshot()
	if err != nil {
		return nil, err
	}
	snapshotTime := time.Since(startedAt)
	startedAt = time.Now()
	restored := program.NewLedger()
	if err := restored.Restore(data); err != nil {
		return nil, err
	}
	restoreTime := time.Since(startedAt)
	startedAt = time.Now()
	// At time 0 no program is idle or expired, so the check visits every program.
	isDue := restored.IsSweepDue(0, 1<<40)
	return []Measurement{
		{Name: "programs", Value: float64(restored.Len())},
		{Name: "memory", Value: memory / mebibyte, Unit: "MB"},
		{Name: "snapshot", Value: float64(len(data)) / mebibyte, Unit: "MB"},
		{Name: "writing the snapshot", Value: float64(snapshotTime.Milliseconds()), Unit: "ms"},
		{Name: "restart from the snapshot", Value: float64(restoreTime.Milliseconds()), Unit: "ms"},
		{Name: fmt.Sprintf("looking for idle programs (due: %t)", isDue), Value: float64(time.Since(startedAt).Microseconds()) / 1000, Unit: "ms"},
	}, nil
}

// measureTenantTree measures the size of a settings tree of count tenants on the wire, and
// the memory and the time that a daemon needs to restore it.
func measureTenantTree(count int) ([]Measurement, error) {
	state, err := buildSettingsTree(count).FollowerState()
	if err != nil {
		return nil, err
	}
	before := heapBytes()
	follower := settings.NewTree()
	startedAt := time.Now()
	if err := follower.Restore(state); err != nil {
		return nil, err
	}
	restoreTime := time.Since(startedAt)
	memory := heapBytes() - before
	return []Measurement{
		{Name: "tenants", Value: float64(len(follower.Paths("/tenants")))},
		{Name: "memory of a daemon's tree", Value: memory / mebibyte, Unit: "MB"},
		{Name: "whole tree on the wire", Value: float64(len(state)) / mebibyte, Unit: "MB"},
		{Name: "restoring it", Value: float64(restoreTime.Milliseconds()), Unit: "ms"},
	}, nil
}
