// Package config defines the settings file of one process. The file is YAML; it overrides
// the defaults and is overridden by flags, and it is validated as a whole before anything
// starts. What operators change at run time is in the settings tree instead.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/ochrebay/ochrebay/internal/retry"
	"github.com/ochrebay/ochrebay/internal/scheduling"
	"github.com/ochrebay/ochrebay/internal/waiting"
)

// Roles of processes.
const (
	RoleControl   = "control"
	RoleLedger    = "ledger"
	RoleGateway   = "gateway"
	RoleScheduler = "scheduler"
	RoleSidecar   = "sidecar"
	RoleEngine    = "engine"
	RoleWeights   = "weights"
	RoleTools     = "tools"
	RolePlatform  = "platform"
)

// Process holds the settings of one process.
type Process struct {
	Role   string `yaml:"role" validate:"required,oneof=control ledger gateway scheduler sidecar engine weights tools platform"`
	Name   string `yaml:"name" validate:"required,hostname_rfc1123"`
	Zone   string `yaml:"zone" validate:"required"`
	Listen Listen `yaml:"listen"`
	// Data is required for control and ledger processes only.
	Data    Data    `yaml:"data"`
	Cluster Cluster `yaml:"cluster"`
	Network Network `yaml:"network"`
	Log     Log     `yaml:"log"`
	// Schedulers lists the schedulers that a sidecar contacts first, with their inner addresses.
	// Afterwards the sidecar uses the directory.
	Schedulers []Peer `yaml:"schedulers" validate:"dive"`
	// PlatformAddress is the HTTP address of the platform's instance list.
	PlatformAddress string   `yaml:"platform" validate:"omitempty,ipport"`
	Emulator        Emulator `yaml:"emulator"`
	// Region is the region of the zone, if there are several regions.
	Region string `yaml:"region,omitempty"`
	// Interface is the interface of a discovered cluster to callers, engines and operators:
	// "own" for the product's interface, "platform" for that of a platform.
	Interface string `yaml:"interface,omitempty" validate:"omitempty,oneof=own platform"`
	Limits    Limits `yaml:"limits"`
	Policy    Policy `yaml:"policy,omitempty"`

	file string
}

// Listen holds the addresses on which a process listens; with port 0 the kernel chooses one.
type Listen struct {
	// Address is the address for the inner protocol.
	Address string `yaml:"address" validate:"required,ipport"`
	// HTTP is the address for callers, operators and metrics.
	HTTP string `yaml:"http" validate:"required,ipport"`
	// Callers and Readiness apply to gateways: the addresses for callers' requests and for
	// readiness checks.
	Callers   string `yaml:"callers,omitempty" validate:"omitempty,ipport"`
	Readiness string `yaml:"readiness,omitempty" validate:"omitempty,ipport"`
	// Operators and Directory apply to control processes: the addresses for operators and
	// engines, and for callers that look up gateways.
	Operators string `yaml:"operators,omitempty" validate:"omitempty,ipport"`
	Directory string `yaml:"directory,omitempty" validate:"omitempty,ipport"`
}

// Policy configures the scheduling decisions of a gateway.
type Policy struct {
	// Disable lists mechanisms to turn off, to measure their effect.
	Disable scheduling.DisabledMechanisms `yaml:"disable,omitempty" validate:"dive,mechanism"`
	// Waiting decides which requests wait for engine capacity and which are rejected at once.
	Waiting waiting.Settings `yaml:"waiting,omitempty"`
	// Retry limits the retries of requests after engine failures.
	Retry retry.Settings `yaml:"retry,omitempty"`
	// CrossZonePenaltyMs is added to the cost of an engine in another zone, on top of the measured
	// network latency, milliseconds. Set it higher where traffic between zones is expensive.
	CrossZonePenaltyMs float64 `yaml:"cross_zone_penalty_ms,omitempty" validate:"min=0,max=60000"`
	// EnforcesFairShares limits tenants to their fair shares of oversubscribed backends.
	EnforcesFairShares bool `yaml:"fair_shares,omitempty"`
}

// Limits are the resource and time limits of a process.
type Limits struct {
	// MemoryMB is the memory above which the process is killed, MiB; 0 for no limit.
	MemoryMB int `yaml:"memory_mb" validate:"min=0,max=1048576"`
	// Descriptors is the number of descriptors that the process may open; 0 for the limit of its kernel.
	Descriptors int `yaml:"descriptors" validate:"min=0,max=1048576"`
	// CPUShare is the number of cores that the process may use, possibly a fraction; 0 if
	// unknown.
	CPUShare float64 `yaml:"cpu_share" validate:"min=0,max=1024"`
	// HeaderBytes is the maximum size of the header of a caller's request.
	HeaderBytes int `yaml:"header_bytes" validate:"min=1024,max=1048576"`
	// EventBytes is the maximum size of one event of an engine's stream.
	EventBytes int `yaml:"event_bytes" validate:"min=1024,max=67108864"`
	// GraceSeconds is the time that a stopping process has before it is killed.
	GraceSeconds float64 `yaml:"grace_s" validate:"min=0,max=3600"`
	// RevokeWithinMs bounds how long requests with a revoked key may still run, milliseconds,
	// counted from the acknowledgement of the routing table that revokes the key. The bound also
	// holds on machines that are partitioned from control. With 0 there is no bound on such
	// machines.
	RevokeWithinMs float64 `yaml:"revoke_within_ms" validate:"min=0,max=3600000"`
	// QuotaWindowSeconds is the length of the window over which tenants' rate limits are counted:
	// in any such window a tenant gets at most rate x window + burst requests. 0 selects the
	// default of 5 s.
	QuotaWindowSeconds float64 `yaml:"quota_window_s" validate:"min=0,max=3600"`
	// QuotaOverage and QuotaSlack bound how far the requests of a window may exceed the limit
	// before it counts as violated: by a fraction of the limit and by a number of requests.
	// Programs in progress may use half of this tolerance and new programs none of it. With both
	// at 0 the limit is never exceeded.
	QuotaOverage float64 `yaml:"quota_overage" validate:"min=0,max=1"`
	QuotaSlack   float64 `yaml:"quota_slack" validate:"min=0,max=1000000"`
}

// drainMargin is the part of the grace period that a stopping process reserves after the drain, to
// exit before it is killed.
const drainMargin = 1200 * time.Millisecond

// defaultQuotaWindow is the quota window if the settings don't define one.
const defaultQuotaWindow = 5 * time.Second

// MemoryBytes returns the memory limit of the process in bytes, 0 for none.
func (l Limits) MemoryBytes() int64 { return int64(l.MemoryMB) << 20 }

// MemoryShare returns a part of the memory limit in bytes: the limit divided by divisor, or fallback if there is no limit.
func (l Limits) MemoryShare(divisor, fallback int64) int64 {
	if l.MemoryMB == 0 {
		return fallback
	}
	return l.MemoryBytes() / divisor
}

// QuotaWindow returns the window over which tenants' rate limits are counted.
func (l Limits) QuotaWindow() time.Duration {
	if l.QuotaWindowSeconds == 0 {
		return defaultQuotaWindow
	}
	return time.Duration(l.QuotaWindowSeconds * float64(time.Second))
}

// RevokeWithin returns how long a revoked key may still be served; false for no bound.
func (l Limits) RevokeWithin() (time.Duration, bool) {
	return time.Duration(l.RevokeWithinMs * float64(time.Millisecond)), l.RevokeWithinMs > 0
}

// DrainTimeout returns how long a stopping process may continue to serve.
func (l Limits) DrainTimeout() time.Duration {
	return max(time.Duration(l.GraceSeconds*float64(time.Second))-drainMargin, 0)
}

// Data is the folder that holds all files of a process.
type Data struct {
	Path string `yaml:"path"`
}

// Peer identifies another process by its name, zone and addresses.
type Peer struct {
	Name    string `yaml:"name" json:"name" validate:"required"`
	Zone    string `yaml:"zone" json:"zone" validate:"required"`
	Address string `yaml:"address" json:"address" validate:"required,ipport"`
	// HTTP is the address for operators; set for control processes only.
	HTTP string `yaml:"http" json:"http" validate:"omitempty,ipport"`
}

// Cluster describes the control processes.
type Cluster struct {
	Members []Peer `yaml:"members" validate:"dive"`
	// Seeds are the inner addresses of the control processes to contact first, for a cluster
	// whose members are discovered. Members is empty in that case.
	Seeds []string `yaml:"seeds" validate:"dive,ipport"`
	// SeedPort is the port of the inner protocol at the seeds, for seed addresses that have
	// a different port; 0 uses the addresses as they are.
	SeedPort uint16 `yaml:"seed_port"`
	// Bootstrap reports that the whole cluster starts for the first time, with empty disks.
	Bootstrap bool `yaml:"bootstrap"`
	// ToleratedMachines is the number of machines with a disk that may be lost at the same time.
	ToleratedMachines int `yaml:"tolerated_machines" validate:"min=0,max=9"`
	// LedgerGroups is the number of ledger groups. It is fixed when the cluster is bootstrapped.
	LedgerGroups int `yaml:"ledger_groups" validate:"min=1,max=4096"`
	// EngineHeartbeatMs is the interval between two reports of an engine to control, milliseconds; 0
	// if unknown.
	EngineHeartbeatMs int64 `yaml:"engine_heartbeat_ms" validate:"min=0,max=600000"`
	// SchedulerLeaseMs is how long a scheduler may send no message before its engines are
	// reassigned, milliseconds.
	SchedulerLeaseMs int64 `yaml:"lease_ms" validate:"min=200,max=600000"`
}

// UsesDiscovery reports whether members are discovered through seeds instead of listed.
func (c Cluster) UsesDiscovery() bool { return len(c.Seeds) > 0 }

// Network configures artificial delays that emulate network distance on one machine.
type Network struct {
	// ZoneDelayMs and ClientDelayMs are one-way delays: ZoneDelayMs is added between processes of
	// different zones, and ClientDelayMs between callers and sidecars.
	ZoneDelayMs   float64 `yaml:"zone_delay_ms" validate:"min=0,max=10000"`
	ClientDelayMs float64 `yaml:"client_delay_ms" validate:"min=0,max=10000"`
}

// Log configures logging.
type Log struct {
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
}

// Emulator configures emulated engines, weight stores, tools and platforms.
type Emulator struct {
	// TimeScale is the ratio of virtual time to real time.
	TimeScale float64 `yaml:"time_scale" validate:"gt=0,max=100000"`
	// Hardware is the name of an entry in the emulator's hardware table.
	Hardware string `yaml:"hardware" validate:"omitempty"`
	// Slowdown is the factor by which the engine is slower than its hardware profile; 0 means 1.
	Slowdown float64 `yaml:"slowness" validate:"min=0,max=100"`
	Pool     string  `yaml:"pool"`
	// WeightStoreAddress is the HTTP address of the weight store.
	WeightStoreAddress string `yaml:"weights" validate:"omitempty,ipport"`
	// Instances is the initial instance list of the platform.
	Instances []Instance `yaml:"instances" validate:"dive"`
	// ReportDelayMs is the delay of load reports and instance lists, milliseconds.
	ReportDelayMs int64 `yaml:"lag_ms" validate:"min=0,max=600000"`
	// RespondsInstantly makes an engine respond without delay, to measure the overhead of ochrebay.
	RespondsInstantly bool `yaml:"instant"`
	// BytesPerSecond is the transfer rate of the weight store, shared by all loads.
	BytesPerSecond int64 `yaml:"bytes_per_second" validate:"min=0"`
}

// Instance is one entry in the instance list of the platform.
type Instance struct {
	Name    string `yaml:"name" validate:"required"`
	Zone    string `yaml:"zone" validate:"required"`
	Address string `yaml:"address" validate:"required,ipport"`
	Pool    string `yaml:"pool" validate:"required"`
}

// Defaults returns a Process with all settings that have a default.
func Defaults() Process {
	return Process{
		Listen:  Listen{Address: "127.0.0.1:0", HTTP: "127.0.0.1:0"},
		Limits:  Limits{HeaderBytes: 16 << 10, EventBytes: 1 << 20, GraceSeconds: 10},
		Cluster: Cluster{LedgerGroups: 8, SchedulerLeaseMs: 3000},
		Log:     Log{Level: "info"},
		Policy: Policy{
			CrossZonePenaltyMs: scheduling.DefaultCrossZonePenaltyMs, Waiting: waiting.DefaultSettings(), Retry: retry.DefaultSettings(),
		},
		Emulator: Emulator{TimeScale: 1, ReportDelayMs: 200, BytesPerSecond: 2 << 30},
	}
}

// FileError is one error in a settings file.
type FileError struct {
	File   string
	Field  string
	Value  string
	Reason string
}

// Error returns one line with the file, the field, the value and the reason.
func (p FileError) Error() string {
	text := p.File + ": "
	if p.Field != "" {
		text += p.Field + ": "
	}
	if p.Value != "" {
		text += fmt.Sprintf("%q: ", p.Value)
	}
	return text + p.Reason
}

// Load reads a settings file on top of the defaults, applies override and validates the
// result. The returned error joins all errors that were found.
func Load(file string, override func(*Process)) (Process, error) {
	process := Defaults()
	raw, err := os.ReadFile(file)
	if err != nil {
		return process, FileError{File: file, Reason: "could not be read: " + lastErrorPart(err)}
	}
	err = yaml.UnmarshalWithOptions(raw, &process, yaml.Strict())
	// Decoding an empty document resets the whole struct.
	process.file = file
	if err != nil {
		return process, FileError{File: file, Reason: firstLine(err)}
	}
	if override != nil {
		override(&process)
	}
	if err := process.Validate(); err != nil {
		return process, err
	}
	process.Cluster.resolveSeeds()
	return process, nil
}

// resolveSeeds replaces the ports of the seeds by the port of the inner protocol.
func (c *Cluster) resolveSeeds() {
	if c.SeedPort == 0 {
		return
	}
	for index, seed := range c.Seeds {
		address := netip.MustParseAddrPort(seed)
		c.Seeds[index] = netip.AddrPortFrom(address.Addr(), c.SeedPort).String()
	}
}

func lastErrorPart(err error) string {
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+1:]
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// Validate checks all settings, including those that the role requires.
func (p Process) Validate() error {
	var errs []error
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("yaml") })
	_ = validate.RegisterValidation("ipport", func(level validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(level.Field().String())
		return err == nil
	})
	_ = validate.RegisterValidation("mechanism", func(level validator.FieldLevel) bool {
		return slices.Contains(scheduling.Mechanisms(), scheduling.Mechanism(level.Field().String()))
	})
	err := validate.Struct(p)
	var invalid validator.ValidationErrors
	if errors.As(err, &invalid) {
		for _, field := range invalid {
			errs = append(errs, p.fieldError(field))
		}
	}
	return errors.Join(append(errs, p.checkRole()...)...)
}

func (p Process) fieldError(field validator.FieldError) FileError {
	_, name, _ := strings.Cut(field.Namespace(), ".")
	reasons := map[string]string{
		"required":         "is missing",
		"ipport":           "is not IP:port; host names are not resolved",
		"oneof":            "is not one of: " + field.Param(),
		"min":              "is below " + field.Param(),
		"max":              "is above " + field.Param(),
		"gt":               "is not above " + field.Param(),
		"mechanism":        "is not a mechanism; valid mechanisms: " + mechanismNames(),
		"hostname_rfc1123": "is not a host name; it may contain only letters, digits, hyphens and dots",
	}
	reason, ok := reasons[field.Tag()]
	if !ok {
		reason = "fails validation rule " + field.Tag()
	}
	value := fmt.Sprint(field.Value())
	if field.Tag() == "required" {
		value = ""
	}
	return FileError{File: p.file, Field: name, Value: value, Reason: reason}
}

func mechanismNames() string {
	var names []string
	for _, mechanism := range scheduling.Mechanisms() {
		names = append(names, string(mechanism))
	}
	return strings.Join(names, ", ")
}

// checkRole checks the settings that depend on the role of the process.
func (p Process) checkRole() []error {
	var errs []error
	addError := func(field, reason string) {
		errs = append(errs, FileError{File: p.file, Field: field, Reason: reason})
	}
	if p.Role == RoleGateway || p.Role == RoleLedger {
		errs = append(errs, p.checkGatewayOrLedger()...)
	}
	if p.Role == RoleControl && p.Cluster.UsesDiscovery() {
		if len(p.Cluster.Members) > 0 {
			addError("cluster.members", "can't be combined with cluster.seeds")
		}
		if p.Data.Path == "" {
			addError("data.path", "is missing: a control process stores its state there")
		}
		return errs
	}
	needsCluster := p.Role == RoleControl || p.Role == RoleScheduler
	if needsCluster && len(p.Cluster.Members) == 0 {
		addError("cluster.members", "is missing: it must list the control processes")
	}
	if p.Role == RoleControl {
		if p.Data.Path == "" {
			addError("data.path", "is missing: a control process stores its state there")
		}
		if !p.isClusterMember() {
			errs = append(errs, FileError{File: p.file, Field: "cluster.members", Value: p.Name, Reason: "does not contain this process"})
		}
	}
	if p.Role == RoleSidecar && len(p.Schedulers) == 0 {
		addError("schedulers", "is missing: a sidecar needs at least one scheduler to contact first")
	}
	seen := map[string]bool{}
	for index, member := range p.Cluster.Members {
		if seen[member.Name] {
			errs = append(errs, FileError{
				File: p.file, Field: fmt.Sprintf("cluster.members[%d].name", index), Value: member.Name, Reason: "is listed twice",
			})
		}
		seen[member.Name] = true
	}
	return errs
}

// checkGatewayOrLedger checks the settings that gateways and ledger hosts require.
func (p Process) checkGatewayOrLedger() []error {
	var errs []error
	addError := func(field, reason string) {
		errs = append(errs, FileError{File: p.file, Field: field, Reason: reason})
	}
	if !p.Cluster.UsesDiscovery() {
		addError("cluster.seeds", "is missing: it must list the control processes to contact first")
	}
	if p.Role == RoleLedger && p.Data.Path == "" {
		addError("data.path", "is missing: a ledger process stores its state there")
	}
	if p.Role == RoleGateway && p.Listen.Callers == "" {
		addError("listen.callers", "is missing: callers send their requests to this address")
	}
	return errs
}

func (p Process) isClusterMember() bool {
	for _, member := range p.Cluster.Members {
		if member.Name == p.Name {
			return true
		}
	}
	return false
}
