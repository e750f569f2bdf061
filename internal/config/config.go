// Package config is the settings file of one process: YAML, with defaults below
// it and flags above it, validated whole before anything starts. What operators
// change at run time is not here but in the settings tree.
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

// The roles of processes.
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

// Process is the settings file of one process.
type Process struct {
	Role   string `yaml:"role" validate:"required,oneof=control ledger gateway scheduler sidecar engine weights tools platform"`
	Name   string `yaml:"name" validate:"required,hostname_rfc1123"`
	Zone   string `yaml:"zone" validate:"required"`
	Listen Listen `yaml:"listen"`
	// Data is needed by control and ledger processes only.
	Data    Data    `yaml:"data"`
	Cluster Cluster `yaml:"cluster"`
	Network Network `yaml:"network"`
	Log     Log     `yaml:"log"`
	// Schedulers are the inner addresses by which a sidecar finds its first
	// scheduler; later it follows the directory.
	Schedulers []Peer `yaml:"schedulers" validate:"dive"`
	// PlatformAddress is the HTTP address of the platform's list of machines.
	PlatformAddress string   `yaml:"platform" validate:"omitempty,ipport"`
	Emulator        Emulator `yaml:"emulator"`
	// Region is the zone's region, where there are several.
	Region string `yaml:"region,omitempty"`
	// Interface names the interface towards callers, engines and operators of a
	// discovered cluster: the product's own, or that of a platform.
	Interface string `yaml:"interface,omitempty" validate:"omitempty,oneof=own platform"`
	Limits    Limits `yaml:"limits"`
	Policy    Policy `yaml:"policy,omitempty"`

	file string
}

// Listen holds a process's own addresses; port 0 lets the kernel choose.
type Listen struct {
	// Address is for the inner protocol.
	Address string `yaml:"address" validate:"required,ipport"`
	// HTTP is for callers, operators and metrics.
	HTTP string `yaml:"http" validate:"required,ipport"`
	// Callers and Readiness are a gateway's: for requests, and for whoever asks
	// whether it takes any.
	Callers   string `yaml:"callers,omitempty" validate:"omitempty,ipport"`
	Readiness string `yaml:"readiness,omitempty" validate:"omitempty,ipport"`
	// Operators and Directory are a control process's: for operators and engines,
	// and for callers that ask where to go.
	Operators string `yaml:"operators,omitempty" validate:"omitempty,ipport"`
	Directory string `yaml:"directory,omitempty" validate:"omitempty,ipport"`
}

// Policy chooses how a gateway decides.
type Policy struct {
	// Disable lists mechanisms that are turned off, to measure what they are worth.
	Disable scheduling.DisabledMechanisms `yaml:"disable,omitempty" validate:"dive,mechanism"`
	// Waiting says who waits for room at engines and who is rejected at once.
	Waiting waiting.Settings `yaml:"waiting,omitempty"`
	// Retry bounds the second tries of requests that an engine failed.
	Retry retry.Settings `yaml:"retry,omitempty"`
	// CrossZonePenaltyMs is the latency handicap of an engine in another zone beside the measured
	// way there: more where traffic between zones is dear.
	CrossZonePenaltyMs float64 `yaml:"cross_zone_penalty_ms,omitempty" validate:"min=0,max=60000"`
	// EnforcesFairShares holds tenants to their shares of a back end that is short of room.
	EnforcesFairShares bool `yaml:"fair_shares,omitempty"`
}

// Limits are what the machine grants the process.
type Limits struct {
	// MemoryMB is the memory above which the process is killed; 0 for no bound.
	MemoryMB int `yaml:"memory_mb" validate:"min=0,max=1048576"`
	// CPUShare is the share of a core that the process may use; 0 where it is not known.
	CPUShare float64 `yaml:"cpu_share" validate:"min=0,max=1024"`
	// HeaderBytes bounds the header of a caller's request.
	HeaderBytes int `yaml:"header_bytes" validate:"min=1024,max=1048576"`
	// GraceSeconds is how long a stopping process may take before it is killed.
	GraceSeconds float64 `yaml:"grace_s" validate:"min=0,max=3600"`
	// RevokeWithinMs is how long after the acknowledgement of a table that withdraws a key
	// a request with that key may still run, milliseconds, on machines that are cut off
	// too; 0 for no bound there.
	RevokeWithinMs float64 `yaml:"revoke_within_ms" validate:"min=0,max=3600000"`
	// QuotaWindowSeconds is the span over which tenants' limits are counted: in any such
	// span a tenant gets at most rate x span + burst.
	QuotaWindowSeconds float64 `yaml:"quota_window_s" validate:"min=0,max=3600"`
	// QuotaOverage and QuotaSlack are by how much of a limit, and by how many requests, the
	// requests of a span may exceed it before it counts as broken. Programs that have begun may
	// use half of it, new ones never; with 0 and 0 nothing goes beyond a limit.
	QuotaOverage float64 `yaml:"quota_overage" validate:"min=0,max=1"`
	QuotaSlack   float64 `yaml:"quota_slack" validate:"min=0,max=1000000"`
}

// graceMargin is what a stopping process leaves of its grace.
const graceMargin = 1200 * time.Millisecond

// defaultQuotaWindow is the span of a fleet whose settings name none.
const defaultQuotaWindow = 5 * time.Second

// QuotaWindow returns the span over which tenants' limits are counted.
func (l Limits) QuotaWindow() time.Duration {
	if l.QuotaWindowSeconds == 0 {
		return defaultQuotaWindow
	}
	return time.Duration(l.QuotaWindowSeconds * float64(time.Second))
}

// RevokeWithin returns how long a withdrawn key may be served; false for no bound.
func (l Limits) RevokeWithin() (time.Duration, bool) {
	return time.Duration(l.RevokeWithinMs * float64(time.Millisecond)), l.RevokeWithinMs > 0
}

// DrainTimeout returns how long a stopping process may go on serving.
func (l Limits) DrainTimeout() time.Duration {
	return max(time.Duration(l.GraceSeconds*float64(time.Second))-graceMargin, 0)
}

// Data is the one folder that holds all of a process's files.
type Data struct {
	Path string `yaml:"path"`
}

// Peer is another process by address and zone.
type Peer struct {
	Name    string `yaml:"name" json:"name" validate:"required"`
	Zone    string `yaml:"zone" json:"zone" validate:"required"`
	Address string `yaml:"address" json:"address" validate:"required,ipport"`
	// HTTP is set for control processes: where operators ask.
	HTTP string `yaml:"http" json:"http" validate:"omitempty,ipport"`
}

// Cluster describes the control processes.
type Cluster struct {
	Members []Peer `yaml:"members" validate:"dive"`
	// Seeds are the inner addresses of the control processes to ask first, for a
	// cluster whose members are discovered; Members is empty then.
	Seeds []string `yaml:"seeds" validate:"dive,ipport"`
	// SeedPort is the port of the inner protocol at the seeds, where their addresses
	// name another port of theirs; 0 takes the addresses as they are.
	SeedPort uint16 `yaml:"seed_port"`
	// Bootstrap says that the whole cluster starts for the first time, with empty
	// disks.
	Bootstrap bool `yaml:"bootstrap"`
	// ToleratedMachines is how many machines with a disk may be lost at once.
	ToleratedMachines int `yaml:"tolerated_machines" validate:"min=0,max=9"`
	// LedgerGroups is fixed when the cluster is first formed.
	LedgerGroups int `yaml:"ledger_groups" validate:"min=1,max=4096"`
	// EngineHeartbeatMs is how often engines report to control, 0 where it is not known.
	EngineHeartbeatMs int64 `yaml:"engine_heartbeat_ms" validate:"min=0,max=600000"`
	// SchedulerLeaseMs is how long a scheduler may be silent before it is taken over.
	SchedulerLeaseMs int64 `yaml:"lease_ms" validate:"min=200,max=600000"`
}

// UsesDiscovery reports whether members are found through seeds instead of listed.
func (c Cluster) UsesDiscovery() bool { return len(c.Seeds) > 0 }

// Network stands in for distance on one machine.
type Network struct {
	// ZoneDelayMs is added one way between processes of different zones, and
	// ClientDelayMs between callers and sidecars.
	ZoneDelayMs   float64 `yaml:"zone_delay_ms" validate:"min=0,max=10000"`
	ClientDelayMs float64 `yaml:"client_delay_ms" validate:"min=0,max=10000"`
}

// Log chooses what is logged.
type Log struct {
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
}

// Emulator configures the stand-ins.
type Emulator struct {
	// TimeScale makes virtual seconds pass faster than real ones.
	TimeScale float64 `yaml:"time_scale" validate:"gt=0,max=100000"`
	// Hardware names an entry of the emulator's table.
	Hardware string `yaml:"hardware" validate:"omitempty"`
	// Slowdown is how many times longer than on that hardware things take; 0 is 1.
	Slowdown float64 `yaml:"slowness" validate:"min=0,max=100"`
	Pool     string  `yaml:"pool"`
	// WeightStoreAddress is the HTTP address of the weight store.
	WeightStoreAddress string `yaml:"weights" validate:"omitempty,ipport"`
	// Instances is the list that the platform serves at first.
	Instances []Instance `yaml:"instances" validate:"dive"`
	// ReportDelayMs is how late load reports and platform lists are.
	ReportDelayMs int64 `yaml:"lag_ms" validate:"min=0,max=600000"`
	// RespondsInstantly makes an engine answer at once, for measuring what ochrebay adds.
	RespondsInstantly bool `yaml:"instant"`
	// BytesPerSecond is the weight store's rate over all loads.
	BytesPerSecond int64 `yaml:"bytes_per_second" validate:"min=0"`
}

// Instance is one machine on the platform's list.
type Instance struct {
	Name    string `yaml:"name" validate:"required"`
	Zone    string `yaml:"zone" validate:"required"`
	Address string `yaml:"address" validate:"required,ipport"`
	Pool    string `yaml:"pool" validate:"required"`
}

// Defaults returns a Process with everything set that has a default.
func Defaults() Process {
	return Process{
		Listen:  Listen{Address: "127.0.0.1:0", HTTP: "127.0.0.1:0"},
		Limits:  Limits{HeaderBytes: 16 << 10, GraceSeconds: 10},
		Cluster: Cluster{LedgerGroups: 8, SchedulerLeaseMs: 3000},
		Log:     Log{Level: "info"},
		Policy: Policy{
			CrossZonePenaltyMs: scheduling.DefaultCrossZonePenaltyMs, Waiting: waiting.DefaultSettings(), Retry: retry.DefaultSettings(),
		},
		Emulator: Emulator{TimeScale: 1, ReportDelayMs: 200, BytesPerSecond: 2 << 30},
	}
}

// FileError is one fault of a settings file, printed in one line.
type FileError struct {
	File   string
	Field  string
	Value  string
	Reason string
}

// Error names file, field, value and reason in one line.
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

// Load reads a settings file over the defaults, lets override change it, and
// validates the whole. Every problem found is joined into the error.
func Load(file string, override func(*Process)) (Process, error) {
	process := Defaults()
	raw, err := os.ReadFile(file)
	if err != nil {
		return process, FileError{File: file, Reason: "can't be read: " + lastPart(err)}
	}
	err = yaml.UnmarshalWithOptions(raw, &process, yaml.Strict())
	// A document without content empties the whole struct.
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

// resolveSeeds turns the seeds into addresses of the inner protocol.
func (c *Cluster) resolveSeeds() {
	if c.SeedPort == 0 {
		return
	}
	for position, seed := range c.Seeds {
		address := netip.MustParseAddrPort(seed)
		c.Seeds[position] = netip.AddrPortFrom(address.Addr(), c.SeedPort).String()
	}
}

func lastPart(err error) string {
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+1:]
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// Validate checks the file as a whole.
func (p Process) Validate() error {
	var problems []error
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("yaml") })
	_ = check.RegisterValidation("ipport", func(level validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(level.Field().String())
		return err == nil
	})
	_ = check.RegisterValidation("mechanism", func(level validator.FieldLevel) bool {
		return slices.Contains(scheduling.Mechanisms(), scheduling.Mechanism(level.Field().String()))
	})
	err := check.Struct(p)
	var invalid validator.ValidationErrors
	if errors.As(err, &invalid) {
		for _, field := range invalid {
			problems = append(problems, p.problem(field))
		}
	}
	return errors.Join(append(problems, p.checkRole()...)...)
}

func (p Process) problem(field validator.FieldError) FileError {
	_, name, _ := strings.Cut(field.Namespace(), ".")
	reasons := map[string]string{
		"required":         "is missing",
		"ipport":           "is not IP:port; host names are not resolved",
		"oneof":            "is none of: " + field.Param(),
		"min":              "is below " + field.Param(),
		"max":              "is above " + field.Param(),
		"gt":               "must be above " + field.Param(),
		"mechanism":        "is no mechanism; they are: " + mechanismNames(),
		"hostname_rfc1123": "may hold letters, digits and dashes only",
	}
	reason, ok := reasons[field.Tag()]
	if !ok {
		reason = "fails the check " + field.Tag()
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

// checkRole holds what one role needs and others don't.
func (p Process) checkRole() []error {
	var problems []error
	missing := func(field, reason string) {
		problems = append(problems, FileError{File: p.file, Field: field, Reason: reason})
	}
	if p.Role == RoleGateway || p.Role == RoleLedger {
		problems = append(problems, p.checkDiscovered()...)
	}
	if p.Role == RoleControl && p.Cluster.UsesDiscovery() {
		if len(p.Cluster.Members) > 0 {
			missing("cluster.members", "can't stand beside cluster.seeds")
		}
		if p.Data.Path == "" {
			missing("data.path", "is missing: a control process keeps its state there")
		}
		return problems
	}
	needsCluster := p.Role == RoleControl || p.Role == RoleScheduler
	if needsCluster && len(p.Cluster.Members) == 0 {
		missing("cluster.members", "is missing: the control processes")
	}
	if p.Role == RoleControl {
		if p.Data.Path == "" {
			missing("data.path", "is missing: a control process keeps its state there")
		}
		if !p.isMember() {
			problems = append(problems, FileError{File: p.file, Field: "cluster.members", Value: p.Name, Reason: "lacks this process"})
		}
	}
	if p.Role == RoleSidecar && len(p.Schedulers) == 0 {
		missing("schedulers", "is missing: a sidecar needs one scheduler to begin with")
	}
	seen := map[string]bool{}
	for position, member := range p.Cluster.Members {
		if seen[member.Name] {
			problems = append(problems, FileError{
				File: p.file, Field: fmt.Sprintf("cluster.members[%d].name", position), Value: member.Name, Reason: "stands twice",
			})
		}
		seen[member.Name] = true
	}
	return problems
}

// checkDiscovered holds what gateways and ledger hosts need.
func (p Process) checkDiscovered() []error {
	var problems []error
	missing := func(field, reason string) {
		problems = append(problems, FileError{File: p.file, Field: field, Reason: reason})
	}
	if !p.Cluster.UsesDiscovery() {
		missing("cluster.seeds", "is missing: the control processes to ask first")
	}
	if p.Role == RoleLedger && p.Data.Path == "" {
		missing("data.path", "is missing: a ledger process keeps its state there")
	}
	if p.Role == RoleGateway && p.Listen.Callers == "" {
		missing("listen.callers", "is missing: where callers send their requests")
	}
	return problems
}

func (p Process) isMember() bool {
	for _, member := range p.Cluster.Members {
		if member.Name == p.Name {
			return true
		}
	}
	return false
}
