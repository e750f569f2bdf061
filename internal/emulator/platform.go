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

// WeightStore is the stand-in for the rate-limited weight store. It hands out slots:
// each load waits until all loads before it have had the store's rate.
type WeightStore struct {
	process config.Process
	logger  log.Logger
	monitor *telemetry.Monitor
	mutex   sync.Mutex
	freeAt  time.Time
}

type weightSlot struct {
	WaitMs int64 `json:"wait_ms"`
}

// NewWeightStore returns an idle weight store.
func NewWeightStore(process config.Process, logger log.Logger) *WeightStore {
	return &WeightStore{process: process, logger: logger, monitor: telemetry.NewMonitor(func() bool { return true })}
}

// Run serves until ctx ends.
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
	if now := time.Now(); w.freeAt.Before(now) {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(time.Duration(seconds * float64(time.Second)))
	writeJSON(ctx, weightSlot{WaitMs: time.Until(w.freeAt).Milliseconds()})
}

// ToolServices is the stand-in for tool services: a call answers after a pause, or
// never.
type ToolServices struct {
	process config.Process
	logger  log.Logger
	monitor *telemetry.Monitor
}

// ToolRequest asks for a tool; the caller says how long the real one would take.
type ToolRequest struct {
	DurationMs int64  `json:"pause_ms"`
	Hangs      bool   `json:"hang"`
	Argument   string `json:"argument"`
}

// ToolReply is what a tool found.
type ToolReply struct {
	Tool   string `json:"tool"`
	Result string `json:"result"`
}

// NewToolServices returns the tool services.
func NewToolServices(process config.Process, logger log.Logger) *ToolServices {
	return &ToolServices{process: process, logger: logger, monitor: telemetry.NewMonitor(func() bool { return true })}
}

// Run serves until ctx ends.
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
	pause := time.Duration(float64(request.DurationMs)/t.process.Emulator.TimeScale) * time.Millisecond
	if request.Hangs {
		pause = time.Hour
	}
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
	writeJSON(ctx, ToolReply{Tool: name, Result: "result of " + name + " for " + request.Argument})
}

// Platform is the stand-in for the platform's list of live and leaving machines;
// what it shows is LagMs old.
type Platform struct {
	process config.Process
	logger  log.Logger
	monitor *telemetry.Monitor
	mutex   sync.Mutex
	now     map[string]membership.Instance
	shown   []membership.Instance
	changed []change
}

type change struct {
	at   time.Time
	list []membership.Instance
}

// NewPlatform returns a platform that shows the configured instances.
func NewPlatform(process config.Process, logger log.Logger) *Platform {
	platform := &Platform{
		process: process, logger: logger, now: map[string]membership.Instance{},
		monitor: telemetry.NewMonitor(func() bool { return true }),
	}
	for _, instance := range process.Emulator.Instances {
		platform.now[instance.Name] = membership.Instance{
			Name: instance.Name, Zone: instance.Zone, Address: instance.Address, Pool: instance.Pool,
		}
	}
	platform.shown = platform.list()
	return platform
}

// Run serves until ctx ends.
func (p *Platform) Run(ctx context.Context) error {
	return serveHTTP(ctx, p.process, p.logger, p.serve)
}

func (p *Platform) list() []membership.Instance {
	list := make([]membership.Instance, 0, len(p.now))
	for _, instance := range p.now {
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
		p.showChanges()
		writeJSON(ctx, map[string]any{"instances": p.shown})
		return
	}
	name, ok := strings.CutPrefix(path, "/v1/instances/")
	if !ok {
		writeError(ctx, result.New(result.NotFound, "no path %s", path))
		return
	}
	p.serveChange(ctx, name)
}

// serveChange is how tests and people take machines away and bring them back.
func (p *Platform) serveChange(ctx *fasthttp.RequestCtx, name string) {
	instance, known := p.now[name]
	switch {
	case ctx.IsDelete():
		delete(p.now, name)
	case ctx.IsPut() && json.Unmarshal(ctx.PostBody(), &instance) == nil && (known || instance.Address != ""):
		instance.Name = name
		p.now[name] = instance
	default:
		writeError(ctx, result.New(result.MalformedRequest, "PUT takes an instance; DELETE removes one"))
		return
	}
	p.changed = append(p.changed, change{at: time.Now(), list: p.list()})
	writeJSON(ctx, map[string]bool{"accepted": true})
}

func (p *Platform) showChanges() {
	lag := time.Duration(p.process.Emulator.ReportDelayMs) * time.Millisecond
	for len(p.changed) > 0 && time.Since(p.changed[0].at) >= lag {
		p.shown = p.changed[0].list
		p.changed = p.changed[1:]
	}
}
