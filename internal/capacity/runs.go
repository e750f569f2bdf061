package capacity

import (
	"fmt"
	"time"

	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/settings"
)

// manyPrograms holds a ledger of program headers and restarts from its snapshot.
func manyPrograms(count int) ([]Measurement, error) {
	before := heapBytes()
	ledger := buildLedger(count, sampleTurns)
	memory := heapBytes() - before
	begun := time.Now()
	data, err := ledger.Snapshot()
	if err != nil {
		return nil, err
	}
	wrote := time.Since(begun)
	begun = time.Now()
	restored := program.NewLedger()
	if err := restored.Restore(data); err != nil {
		return nil, err
	}
	took := time.Since(begun)
	begun = time.Now()
	due := restored.IsSweepDue(0, 1<<40)
	return []Measurement{
		{Name: "programs", Value: float64(restored.Len())},
		{Name: "memory", Value: memory / megabyte, Unit: "MB"},
		{Name: "snapshot", Value: float64(len(data)) / megabyte, Unit: "MB"},
		{Name: "writing the snapshot", Value: float64(wrote.Milliseconds()), Unit: "ms"},
		{Name: "restart from the snapshot", Value: float64(took.Milliseconds()), Unit: "ms"},
		{Name: fmt.Sprintf("looking for idle programs (due: %t)", due), Value: float64(time.Since(begun).Microseconds()) / 1000, Unit: "ms"},
	}, nil
}

// manyTenants follows a tree with all tenants in it.
func manyTenants(count int) ([]Measurement, error) {
	state, err := buildTree(count).FollowerState()
	if err != nil {
		return nil, err
	}
	before := heapBytes()
	follower := settings.NewTree()
	begun := time.Now()
	if err := follower.Restore(state); err != nil {
		return nil, err
	}
	took := time.Since(begun)
	memory := heapBytes() - before
	return []Measurement{
		{Name: "tenants", Value: float64(len(follower.Paths("/tenants")))},
		{Name: "memory of a daemon's tree", Value: memory / megabyte, Unit: "MB"},
		{Name: "whole tree on the wire", Value: float64(len(state)) / megabyte, Unit: "MB"},
		{Name: "restoring it", Value: float64(took.Milliseconds()), Unit: "ms"},
	}, nil
}
