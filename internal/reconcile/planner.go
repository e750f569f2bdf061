package reconcile

// Fence orders the orders for one engine: first by owner epoch, then by settings
// revision. An engine refuses an order whose fence is lower than its highest.
type Fence struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Less reports whether f comes before other.
func (f Fence) Less(other Fence) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	return f.Revision < other.Revision
}

// Target is what an engine should serve, or serves.
type Target struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// ObservedEngine is what the planner knows of one engine.
type ObservedEngine struct {
	Name      string
	Pool      string
	Current   Target
	IsLoading bool
	IsLeaving bool
	InFlight  int
	Fence     Fence
	// HasPermit says that the engine holds a permit; Draining that it takes no new
	// work already.
	HasPermit  bool
	IsDraining bool
}

// StepKind is what to do next with an engine.
type StepKind uint8

// The steps of bringing one engine into line, in their order.
const (
	// StepNone leaves the engine alone.
	StepNone StepKind = iota
	// StepPermit asks the leader for a permit.
	StepPermit
	// StepDrain stops new work to the engine.
	StepDrain
	// StepOrder sends the fenced order.
	StepOrder
	// StepRelease gives the permit back and lets work in again.
	StepRelease
)

// NextStep returns the next step that brings an engine to its target.
func NextStep(observed ObservedEngine, target Target) StepKind {
	if observed.Current == target && !observed.IsLoading {
		if observed.HasPermit || observed.IsDraining {
			return StepRelease
		}
		return StepNone
	}
	if observed.IsLoading || observed.IsLeaving {
		return StepNone
	}
	if !observed.HasPermit {
		return StepPermit
	}
	if !observed.IsDraining {
		return StepDrain
	}
	if observed.InFlight > 0 {
		return StepNone
	}
	return StepOrder
}
