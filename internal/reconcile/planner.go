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

// Observed is what the planner knows of one engine.
type Observed struct {
	Name     string
	Pool     string
	Current  Target
	Loading  bool
	Leaving  bool
	InFlight int
	Fence    Fence
	// Permit says that the engine holds a permit; Draining that it takes no new
	// work already.
	Permit   bool
	Draining bool
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

// Plan returns the next step that brings an engine to its target.
func Plan(observed Observed, target Target) StepKind {
	if observed.Current == target && !observed.Loading {
		if observed.Permit || observed.Draining {
			return StepRelease
		}
		return StepNone
	}
	if observed.Loading || observed.Leaving {
		return StepNone
	}
	if !observed.Permit {
		return StepPermit
	}
	if !observed.Draining {
		return StepDrain
	}
	if observed.InFlight > 0 {
		return StepNone
	}
	return StepOrder
}
