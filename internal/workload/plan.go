package workload

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/ochrebay/ochrebay/internal/config"
)

const (
	planFolderMode = 0o750
	planFileMode   = 0o640
	planLag        = 200
)

// PlannedProcess is one process of a fleet, ready to be started.
type PlannedProcess struct {
	Process config.Process
	// File is the settings file written for it.
	File string
	// Arguments are the words after the program's name that start it.
	Arguments []string
}

// ports reserves ports that the kernel picks; all are held until released, so
// that no two processes of a plan get the same.
type ports struct {
	held []net.Listener
}

func (p *ports) next() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.held = append(p.held, listener)
	return listener.Addr().String(), nil
}

func (p *ports) release() {
	for _, listener := range p.held {
		_ = listener.Close()
	}
}

// Plan writes a settings file for each process of a deployment below folder and
// returns the processes in the order in which to start them. It starts nothing.
func Plan(deployment Deployment, folder string, timeScale float64) ([]PlannedProcess, error) {
	builder := planBuilder{deployment: deployment, folder: folder, timeScale: timeScale}
	defer builder.ports.release()
	if err := os.MkdirAll(filepath.Join(folder, "etc"), planFolderMode); err != nil {
		return nil, err
	}
	steps := []func() error{
		builder.addPlatformServices, builder.addEngines, builder.addControls, builder.addSchedulers, builder.addSidecars,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	builder.connect()
	return builder.planned, builder.write()
}

type planBuilder struct {
	deployment Deployment
	folder     string
	timeScale  float64
	ports      ports
	planned    []PlannedProcess
	members    []config.Peer
	schedulers []config.Peer
	instances  []config.Instance
	platform   string
	weights    string
}

func (b *planBuilder) add(role, name, zone string, command ...string) (*config.Process, error) {
	process := config.Defaults()
	process.Role = role
	process.Name = name
	process.Zone = zone
	process.Network = config.Network{ZoneDelayMs: b.deployment.ZoneDelayMs, ClientDelayMs: b.deployment.ClientDelayMs}
	process.Emulator.TimeScale = b.timeScale
	var err error
	if process.Listen.HTTP, err = b.ports.next(); err != nil {
		return nil, err
	}
	process.Listen.Address = "127.0.0.1:0"
	if role == config.RoleControl || role == config.RoleScheduler {
		if process.Listen.Address, err = b.ports.next(); err != nil {
			return nil, err
		}
	}
	file := filepath.Join(b.folder, "etc", name+".yaml")
	b.planned = append(b.planned, PlannedProcess{Process: process, File: file, Arguments: command})
	return &b.planned[len(b.planned)-1].Process, nil
}

func (b *planBuilder) addPlatformServices() error {
	zone := b.deployment.Zones[0]
	weights, err := b.add(config.RoleWeights, "weights", zone, "emulate", "weights")
	if err != nil {
		return err
	}
	if b.deployment.WeightBytesPerSecond > 0 {
		weights.Emulator.BytesPerSecond = b.deployment.WeightBytesPerSecond
	}
	b.weights = weights.Listen.HTTP
	if _, err := b.add(config.RoleTools, "tools", zone, "emulate", "tools"); err != nil {
		return err
	}
	platform, err := b.add(config.RolePlatform, "platform", zone, "emulate", "platform")
	if err != nil {
		return err
	}
	b.platform = platform.Listen.HTTP
	return nil
}

func (b *planBuilder) addEngines() error {
	numbers := map[string]int{}
	for _, group := range b.deployment.Engines {
		for range group.Count {
			numbers[group.Pool]++
			name := fmt.Sprintf("engine-%s-%d", group.Pool, numbers[group.Pool])
			process, err := b.add(config.RoleEngine, name, group.Zone, "emulate", "engine")
			if err != nil {
				return err
			}
			process.Emulator.Hardware = group.Hardware
			process.Emulator.Slowdown = group.Slowdown
			process.Emulator.Pool = group.Pool
			process.Emulator.WeightStoreAddress = b.weights
			process.Emulator.ReportDelayMs = planLag
			process.Emulator.RespondsInstantly = group.IsInstant
			b.instances = append(b.instances, config.Instance{Name: name, Zone: group.Zone, Address: process.Listen.HTTP, Pool: group.Pool})
		}
	}
	return nil
}

func (b *planBuilder) addControls() error {
	for number := range b.deployment.ControlCount {
		name := fmt.Sprintf("control-%d", number+1)
		zone := b.deployment.Zones[number%len(b.deployment.Zones)]
		process, err := b.add(config.RoleControl, name, zone, "control")
		if err != nil {
			return err
		}
		process.Data.Path = filepath.Join(b.folder, "data", name)
		process.PlatformAddress = b.platform
		b.members = append(b.members, config.Peer{
			Name: name, Zone: zone, Address: process.Listen.Address, HTTP: process.Listen.HTTP,
		})
	}
	return nil
}

func (b *planBuilder) addSchedulers() error {
	for _, count := range b.deployment.Schedulers {
		for number := range count.Count {
			name := fmt.Sprintf("scheduler-%s-%d", count.Zone, number+1)
			process, err := b.add(config.RoleScheduler, name, count.Zone, "scheduler")
			if err != nil {
				return err
			}
			b.schedulers = append(b.schedulers, config.Peer{Name: name, Zone: count.Zone, Address: process.Listen.Address})
		}
	}
	return nil
}

func (b *planBuilder) addSidecars() error {
	for _, count := range b.deployment.Sidecars {
		for number := range count.Count {
			if _, err := b.add(config.RoleSidecar, fmt.Sprintf("sidecar-%s-%d", count.Zone, number+1), count.Zone, "sidecar"); err != nil {
				return err
			}
		}
	}
	return nil
}

// connect fills in what each process must know of the others.
func (b *planBuilder) connect() {
	for position := range b.planned {
		process := &b.planned[position].Process
		switch process.Role {
		case config.RoleControl, config.RoleScheduler:
			process.Cluster.Members = ownZoneFirst(b.members, process.Zone)
			if b.deployment.LedgerGroups > 0 {
				process.Cluster.LedgerGroups = b.deployment.LedgerGroups
			}
		case config.RoleSidecar:
			process.Schedulers = ownZoneFirst(b.schedulers, process.Zone)
		case config.RolePlatform:
			process.Emulator.Instances = b.instances
			process.Emulator.ReportDelayMs = planLag
		}
	}
}

func ownZoneFirst(peers []config.Peer, zone string) []config.Peer {
	var own, others []config.Peer
	for _, peer := range peers {
		if peer.Zone == zone {
			own = append(own, peer)
		} else {
			others = append(others, peer)
		}
	}
	return append(own, others...)
}

// write stores the settings files, the operators' settings and the list that
// scripts read: NAME FILE IP:PORT COMMAND.
func (b *planBuilder) write() error {
	var lines strings.Builder
	for _, planned := range b.planned {
		raw, err := yaml.Marshal(planned.Process)
		if err != nil {
			return err
		}
		if err := os.WriteFile(planned.File, raw, planFileMode); err != nil {
			return err
		}
		fmt.Fprintf(&lines, "%s %s %s %s\n", planned.Process.Name, planned.File, planned.Process.Listen.HTTP, strings.Join(planned.Arguments, " "))
	}
	if err := os.WriteFile(filepath.Join(b.folder, "plan"), []byte(lines.String()), planFileMode); err != nil {
		return err
	}
	raw, err := yaml.Marshal(b.deployment.Settings)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(b.folder, "etc", "settings.yaml"), raw, planFileMode)
}
