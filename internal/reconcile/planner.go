package reconcile

// Fence is the fencing token of an order to an engine. Fences are compared first by owner epoch,
// then by settings revision. An engine rejects an order whose fence is lower than the highest one
// it has accepted.
type Fence struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Less reports whether f is lower than other.
func (f Fence) Less(other Fence) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	return f.Revision < other.Revision
}

// Target describes the model that an engine serves or should serve.
type Target struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// ObservedEngine is the state of an engine as observed by its scheduler.
type ObservedEngine struct {
	Name      string
	Pool      string
	Current   Target
	IsLoading bool
	IsLeaving bool
	InFlight  int
	Fence     Fence
	// HasPermit means that the engine has a permit to load; IsDraining means that it receives no
	// new work.
	HasPermit  bool
	IsDraining bool
}

// StepKind is the next step for an engine.
type StepKind uint8

// The steps that bring an engine to its target, in the order in which they are taken.
const (
	// StepNone means that there is nothing to do now.
	StepNone StepKind = iota
	// StepPermit requests a permit from the leader of the settings group.
	StepPermit
	// StepDrain stops sending new work to the engine.
	StepDrain
	// StepOrder sends the fenced order.
	StepOrder
	// StepRelease returns the permit and resumes sending work to the engine.
	StepRelease
)

// NextStep returns the next step for bringing an engine to its target.
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
