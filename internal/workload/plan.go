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
	planFolderMode    = 0o750
	planFileMode      = 0o640
	planReportDelayMs = 200
)

// PlannedProcess describes one process of a fleet that is ready to be started.
type PlannedProcess struct {
	Process config.Process
	// File is the path of the settings file of the process.
	File string
	// Arguments are the subcommands of the ochrebay executable that start the process.
	Arguments []string
}

// portReservations reserves ports chosen by the kernel. All listeners stay open until
// release, so that no two processes of a plan get the same port.
type portReservations struct {
	listeners []net.Listener
}

func (p *portReservations) reserve() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.listeners = append(p.listeners, listener)
	return listener.Addr().String(), nil
}

func (p *portReservations) release() {
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
}

// Plan writes a settings file for each process of a deployment below folder and
// returns the processes in start order. It does not start them.
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
	builder.setPeerAddresses()
	return builder.planned, builder.writeFiles()
}

type planBuilder struct {
	deployment         Deployment
	folder             string
	timeScale          float64
	ports              portReservations
	planned            []PlannedProcess
	members            []config.Peer
	schedulers         []config.Peer
	instances          []config.Instance
	platformAddress    string
	weightStoreAddress string
}

func (b *planBuilder) addProcess(role, name, zone string, arguments ...string) (*config.Process, error) {
	process := config.Defaults()
	process.Role = role
	process.Name = name
	process.Zone = zone
	process.Network = config.Network{ZoneDelayMs: b.deployment.ZoneDelayMs, ClientDelayMs: b.deployment.ClientDelayMs}
	process.Emulator.TimeScale = b.timeScale
	var err error
	if process.Listen.HTTP, err = b.ports.reserve(); err != nil {
		return nil, err
	}
	process.Listen.Address = "127.0.0.1:0"
	if role == config.RoleControl || role == config.RoleScheduler {
		if process.Listen.Address, err = b.ports.reserve(); err != nil {
			return nil, err
		}
	}
	file := filepath.Join(b.folder, "etc", name+".yaml")
	b.planned = append(b.planned, PlannedProcess{Process: process, File: file, Arguments: arguments})
	return &b.planned[len(b.planned)-1].Process, nil
}

func (b *planBuilder) addPlatformServices() error {
	zone := b.deployment.Zones[0]
	weights, err := b.addProcess(config.RoleWeights, "weights", zone, "emulate", "weights")
	if err != nil {
		return err
	}
	if b.deployment.WeightBytesPerSecond > 0 {
		weights.Emulator.BytesPerSecond = b.deployment.WeightBytesPerSecond
	}
	b.weightStoreAddress = weights.Listen.HTTP
	if _, err := b.addProcess(config.RoleTools, "tools", zone, "emulate", "tools"); err != nil {
		return err
	}
	platform, err := b.addProcess(config.RolePlatform, "platform", zone, "emulate", "platform")
	if err != nil {
		return err
	}
	b.platformAddress = platform.Listen.HTTP
	return nil
}

func (b *planBuilder) addEngines() error {
	numbers := map[string]int{}
	for _, group := range b.deployment.Engines {
		for range group.Count {
			numbers[group.Pool]++
			name := fmt.Sprintf("engine-%s-%d", group.Pool, numbers[group.Pool])
			process, err := b.addProcess(config.RoleEngine, name, group.Zone, "emulate", "engine")
			if err != nil {
				return err
			}
			process.Emulator.Hardware = group.Hardware
			process.Emulator.Slowdown = group.Slowdown
			process.Emulator.Pool = group.Pool
			process.Emulator.WeightStoreAddress = b.weightStoreAddress
			process.Emulator.ReportDelayMs = planReportDelayMs
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
		process, err := b.addProcess(config.RoleControl, name, zone, "control")
		if err != nil {
			return err
		}
		process.Data.Path = filepath.Join(b.folder, "data", name)
		process.PlatformAddress = b.platformAddress
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
			process, err := b.addProcess(config.RoleScheduler, name, count.Zone, "scheduler")
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
			if _, err := b.addProcess(config.RoleSidecar, fmt.Sprintf("sidecar-%s-%d", count.Zone, number+1), count.Zone, "sidecar"); err != nil {
				return err
			}
		}
	}
	return nil
}

// setPeerAddresses fills in the addresses of other processes, which are known only
// after all processes have been added.
func (b *planBuilder) setPeerAddresses() {
	for position := range b.planned {
		process := &b.planned[position].Process
		switch process.Role {
		case config.RoleControl, config.RoleScheduler:
			process.Cluster.Members = sameZoneFirst(b.members, process.Zone)
			if b.deployment.LedgerGroups > 0 {
				process.Cluster.LedgerGroups = b.deployment.LedgerGroups
			}
		case config.RoleSidecar:
			process.Schedulers = sameZoneFirst(b.schedulers, process.Zone)
		case config.RolePlatform:
			process.Emulator.Instances = b.instances
			process.Emulator.ReportDelayMs = planReportDelayMs
		}
	}
}

func sameZoneFirst(peers []config.Peer, zone string) []config.Peer {
	var sameZone, others []config.Peer
	for _, peer := range peers {
		if peer.Zone == zone {
			sameZone = append(sameZone, peer)
		} else {
			others = append(others, peer)
		}
	}
	return append(sameZone, others...)
}

// writeFiles writes the settings files of the processes, the operators' settings and the
// list that scripts read, one process per line: NAME FILE IP:PORT COMMAND.
func (b *planBuilder) writeFiles() error {
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
