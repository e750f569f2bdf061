package emulator

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

// WeightStore emulates the rate-limited weight store. It assigns time slots: each
// load waits until its own transfer and all earlier ones have completed at the
// rate of the store.
type WeightStore struct {
	process     config.Process
	logger      log.Logger
	monitor     *telemetry.Monitor
	mutex       sync.Mutex
	availableAt time.Time
}

type weightLoadSlot struct {
	WaitMs int64 `json:"wait_ms"`
}

// NewWeightStore returns a weight store without pending loads.
func NewWeightStore(process config.Process, logger log.Logger) *WeightStore {
	return &WeightStore{process: process, logger: logger, monitor: telemetry.NewMonitor(func() bool { return true })}
}

// Run serves requests until ctx is cancelled.
func (w *WeightStore) Run(ctx context.Context) error {
	return serveHTTP(ctx, w.process, w.logger, w.serve)
}

func (w *WeightStore) serve(ctx *fasthttp.RequestCtx) {
	if w.monitor.Serve(ctx) {
		return
	}
	if !strings.HasPrefix(string(ctx.Path()), "/v1/weights/") {
		writeError(ctx, result.New(result.NotFound, "no path %s", ctx.Path()))
		return
	}
	size := ctx.QueryArgs().GetUintOrZero("bytes")
	seconds := float64(size) / float64(w.process.Emulator.BytesPerSecond) / w.process.Emulator.TimeScale
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now := time.Now(); w.availableAt.Before(now) {
		w.availableAt = now
	}
	w.availableAt = w.availableAt.Add(time.Duration(seconds * float64(time.Second)))
	writeJSON(ctx, weightLoadSlot{WaitMs: time.Until(w.availableAt).Milliseconds()})
}

// ToolServices emulates tool services. A call returns after the requested duration,
// or hangs.
type ToolServices struct {
	process config.Process
	logger  log.Logger
	monitor *telemetry.Monitor
}

// ToolRequest is a call of a tool. The caller sets how long the real tool would take.
type ToolRequest struct {
	DurationMs int64  `json:"pause_ms"`
	Hangs      bool   `json:"hang"`
	Argument   string `json:"argument"`
}

// ToolReply is the result of a tool call.
type ToolReply struct {
	Tool   string `json:"tool"`
	Result string `json:"result"`
}

// NewToolServices returns emulated tool services.
func NewToolServices(process config.Process, logger log.Logger) *ToolServices {
	return &ToolServices{process: process, logger: logger, monitor: telemetry.NewMonitor(func() bool { return true })}
}

// Run serves requests until ctx is cancelled.
func (t *ToolServices) Run(ctx context.Context) error {
	return serveHTTP(ctx, t.process, t.logger, t.serve)
}

func (t *ToolServices) serve(ctx *fasthttp.RequestCtx) {
	if t.monitor.Serve(ctx) {
		return
	}
	name, ok := strings.CutPrefix(string(ctx.Path()), "/v1/tools/")
	var request ToolRequest
	if !ok || json.Unmarshal(ctx.PostBody(), &request) != nil {
		writeError(ctx, result.New(result.MalformedRequest, "POST /v1/tools/NAME takes a tool request"))
		return
	}
	delay := time.Duration(float64(request.DurationMs)/t.process.Emulator.TimeScale) * time.Millisecond
	if request.Hangs {
		delay = time.Hour
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
	writeJSON(ctx, ToolReply{Tool: name, Result: "result of " + name + " for " + request.Argument})
}

// Platform emulates the platform's list of live and leaving instances. Changes
// become visible in the list ReportDelayMs of real time after they were made.
type Platform struct {
	process           config.Process
	logger            log.Logger
	monitor           *telemetry.Monitor
	mutex             sync.Mutex
	instances         map[string]membership.Instance
	reportedInstances []membership.Instance
	pendingChanges    []instanceChange
}

// instanceChange is the complete list of instances after a change, and the time of the
// change.
type instanceChange struct {
	at        time.Time
	instances []membership.Instance
}

// NewPlatform returns a platform that lists the configured instances.
func NewPlatform(process config.Process, logger log.Logger) *Platform {
	platform := &Platform{
		process: process, logger: logger, instances: map[string]membership.Instance{},
		monitor: telemetry.NewMonitor(func() bool { return true }),
	}
	for _, instance := range process.Emulator.Instances {
		platform.instances[instance.Name] = membership.Instance{
			Name: instance.Name, Zone: instance.Zone, Address: instance.Address, Pool: instance.Pool,
		}
	}
	platform.reportedInstances = platform.listInstances()
	return platform
}

// Run serves requests until ctx is cancelled.
func (p *Platform) Run(ctx context.Context) error {
	return serveHTTP(ctx, p.process, p.logger, p.serve)
}

func (p *Platform) listInstances() []membership.Instance {
	list := make([]membership.Instance, 0, len(p.instances))
	for _, instance := range p.instances {
		list = append(list, instance)
	}
	return list
}

func (p *Platform) serve(ctx *fasthttp.RequestCtx) {
	if p.monitor.Serve(ctx) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	path := string(ctx.Path())
	if path == "/v1/instances" && ctx.IsGet() {
		p.applyDueChanges()
		writeJSON(ctx, map[string]any{"instances": p.reportedInstances})
		return
	}
	name, ok := strings.CutPrefix(path, "/v1/instances/")
	if !ok {
		writeError(ctx, result.New(result.NotFound, "no path %s", path))
		return
	}
	p.serveChange(ctx, name)
}

// serveChange adds, updates or removes an instance. Tests and operators use it to
// emulate the loss and the return of instances.
func (p *Platform) serveChange(ctx *fasthttp.RequestCtx, name string) {
	instance, exists := p.instances[name]
	switch {
	case ctx.IsDelete():
		delete(p.instances, name)
	case ctx.IsPut() && json.Unmarshal(ctx.PostBody(), &instance) == nil && (exists || instance.Address != ""):
		instance.Name = name
		p.instances[name] = instance
	default:
		writeError(ctx, result.New(result.MalformedRequest, "PUT takes an instance; DELETE removes one"))
		return
	}
	p.pendingChanges = append(p.pendingChanges, instanceChange{at: time.Now(), instances: p.listInstances()})
	writeJSON(ctx, map[string]bool{"accepted": true})
}

func (p *Platform) applyDueChanges() {
	reportDelay := time.Duration(p.process.Emulator.ReportDelayMs) * time.Millisecond
	for len(p.pendingChanges) > 0 && time.Since(p.pendingChanges[0].at) >= reportDelay {
		p.reportedInstances = p.pendingChanges[0].instances
		p.pendingChanges = p.pendingChanges[1:]
	}
}
