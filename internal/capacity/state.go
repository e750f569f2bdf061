package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/ochrebay/ochrebay/internal/consensus"
	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/settings"
	"github.com/ochrebay/ochrebay/internal/storage"
)

const turnsPerProgram = 3

// buildLedger returns a ledger of programs with the given number of turns each.
func buildLedger(programs, turns int) *program.Ledger {
	ledger := program.NewLedger()
	index := uint64(0)
	for number := range programs {
		id := fmt.Sprintf("p-%024x", number)
		for turn := range turns {
			index++
			reply, _ := ledger.Apply(index, program.Command{NowMs: int64(index), Begin: &program.Begin{
				Program: id, Tenant: "tenant-1", Service: "triage", Create: true, Request: fmt.Sprint("r", turn), Digest: index,
				Limits: program.Limits{BudgetTokens: 1 << 40, MaxTurns: 1 << 20}, NewTokens: 1, MaxTokens: 1,
				Scheduler: "scheduler-east-1", Nonce: index,
			}})
			index++
			ledger.Apply(index, program.Command{NowMs: int64(index), Commit: &program.Commit{
				Program: id, Fence: reply.Fence, Engine: "engine-agents-east-1",
				Messages: []program.Message{{Role: "user", Content: "x"}}, Answer: program.Message{Role: "assistant", Content: "y"},
			}})
		}
	}
	return ledger
}

// fitLedger measures the memory, the snapshot size and the restart time of program headers.
func fitLedger(sizes []int) ([]LinearFit, error) {
	var memory, bytes, restore []Point
	for _, size := range sizes {
		before := heapBytes()
		ledger := buildLedger(size, turnsPerProgram)
		memory = append(memory, Point{float64(size), heapBytes() - before})
		data, err := ledger.Snapshot()
		if err != nil {
			return nil, err
		}
		bytes = append(bytes, Point{float64(size), float64(len(data))})
		startedAt := time.Now()
		if err := program.NewLedger().Restore(data); err != nil {
			return nil, err
		}
		restore = append(restore, Point{float64(size), float64(time.Since(startedAt).Microseconds()) / 1000})
	}
	return []LinearFit{
		newLinearFit("memory of program headers", "control", "programs", "bytes", memory),
		newLinearFit("snapshot of program headers", "control", "programs", "bytes", bytes),
		newLinearFit("restart from a snapshot of headers", "control", "programs", "ms", restore),
	}, nil
}

// fitTurns measures how the memory of one program header grows with the number of turns.
func fitTurns(programs int, turns []int) LinearFit {
	var points []Point
	for _, count := range turns {
		before := heapBytes()
		ledger := buildLedger(programs, count)
		points = append(points, Point{float64(count), (heapBytes() - before) / float64(ledger.Len())})
	}
	return newLinearFit("memory of one header", "control", "turns of the program", "bytes", points)
}

func buildSettingsTree(tenants int) *settings.Tree {
	tree := settings.NewTree()
	const perChange = 1000
	for first := 0; first < tenants; first += perChange {
		change := settings.Change{Operator: "capacity", Number: uint64(first/perChange + 1)}
		for tenant := first; tenant < min(first+perChange, tenants); tenant++ {
			inFlight := int64(100 + tenant%50)
			rate := int64(1000 + tenant)
			change.Nodes = append(change.Nodes, settings.NodeChange{
				Path: fmt.Sprintf("/tenants/tenant-%06d", tenant), Version: settings.AnyVersion,
				Fields: settings.Fields{TenantMaxInFlight: &inFlight, TokensPerSecond: &rate},
			})
		}
		tree.Apply(change)
	}
	return tree
}

// fitTenants measures the cost of tenants in the settings tree for a daemon that follows it.
func fitTenants(sizes []int) ([]LinearFit, error) {
	var memory, bytes, restore []Point
	for _, size := range sizes {
		state, err := buildSettingsTree(size).FollowerState()
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
		memory = append(memory, Point{float64(size), heapBytes() - before})
		bytes = append(bytes, Point{float64(size), float64(len(state))})
		restore = append(restore, Point{float64(size), float64(restoreTime.Microseconds()) / 1000})
		if follower.Revision() == 0 {
			return nil, fmt.Errorf("capacity: restored settings tree is empty")
		}
	}
	return []LinearFit{
		newLinearFit("memory of the followed tree", "scheduler", "tenants", "bytes", memory),
		newLinearFit("whole tree sent to a fresh daemon", "scheduler", "tenants", "bytes", bytes),
		newLinearFit("restoring the whole tree", "scheduler", "tenants", "ms", restore),
	}, nil
}

// fitEngineReports measures the size of one JSON engine report and the time that the
// scheduler that owns the engine needs to decode it.
func fitEngineReports(sizes []int) []LinearFit {
	var sizePoints, costPoints []Point
	for _, programs := range sizes {
		state := engine.State{Name: "engine-agents-east-1", Ready: true}
		for number := range programs {
			state.CachedPrograms = append(state.CachedPrograms, engine.CachedProgram{Program: fmt.Sprintf("p-%024x", number), Tokens: 4000})
		}
		raw, _ := json.Marshal(state)
		const repeats = 200
		startedAt := time.Now()
		for range repeats {
			var decoded engine.State
			_ = json.Unmarshal(raw, &decoded)
		}
		sizePoints = append(sizePoints, Point{float64(programs), float64(len(raw))})
		costPoints = append(costPoints, Point{float64(programs), float64(time.Since(startedAt).Microseconds()) / repeats})
	}
	return []LinearFit{
		newLinearFit("bytes of one engine report", "scheduler", "programs held by the engine", "bytes", sizePoints),
		newLinearFit("decoding one engine report", "scheduler", "programs held by the engine", "us", costPoints),
	}
}

// fitSyncedWrites measures the duration of one synced write to the production store. The
// write holds several log entries, each with its turn record, as group commit produces them.
func fitSyncedWrites(sizes []int, recordBytes int) ([]LinearFit, error) {
	folder, err := os.MkdirTemp("", "ochrebay-capacity")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	store, err := storage.Open(folder)
	if err != nil {
		return nil, err
	}
	defer func() { _ = store.Close() }()
	var points []Point
	index := uint64(0)
	value := make([]byte, recordBytes)
	for _, size := range sizes {
		const repeats = 60
		startedAt := time.Now()
		for range repeats {
			write := storage.GroupWrite{Group: 1}
			for range size {
				index++
				write.Entries = append(write.Entries, consensus.Entry{Term: 1, Index: index, Kind: consensus.EntryCommand, Data: value})
				write.Records = append(write.Records, storage.Record{Program: fmt.Sprint("p", index%997), Turn: index, Value: value})
			}
			if err := store.Write([]storage.GroupWrite{write}); err != nil {
				return nil, err
			}
		}
		points = append(points, Point{float64(size), float64(time.Since(startedAt).Microseconds()) / repeats})
	}
	return []LinearFit{newLinearFit("one synced write", "control", "entries in the write", "us", points)}, nil
}
