package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// fleet runs the project's own processes with settings like those of the deploy file's template.
type fleet struct {
	record  *record
	program string
	folder  string

	mutex     sync.Mutex
	processes map[string]*exec.Cmd
	settings  map[string]processSettings
	addresses map[string]string
	seeds     []string
}

// processSettings are the parts of a settings file that differ between processes.
type processSettings struct {
	role, zone, inner, metrics, listen string
	bootstrap                          bool
}

const (
	memoryMB     = 244
	ledgerGroups = 8
	heartbeatMs  = 1200
)

func newFleet(record *record, program string) *fleet {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		record.cannotRun("temporary folder: %v", err)
	}
	return &fleet{
		record: record, program: program, folder: folder, processes: map[string]*exec.Cmd{}, settings: map[string]processSettings{}, addresses: map[string]string{},
	}
}

const (
	// firstPort is the lowest port that is used, portsPerRun how many one run may use, and portRuns how
	// many runs at the same time have ports of their own. The kernel gives none of these ports to
	// outgoing connections.
	firstPort   = 20000
	portsPerRun = 500
	portRuns    = 24
)

// lastPort is the port that was returned last.
var lastPort atomic.Int64

// freeAddress returns a free loopback address; no address is returned twice.
func freeAddress() string {
	lastPort.CompareAndSwap(0, int64(firstPort+os.Getpid()%portRuns*portsPerRun))
	for {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lastPort.Add(1)))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		_ = listener.Close()
		return address
	}
}

// launch starts three control processes, three ledger processes and the given number of gateways.
func (f *fleet) launch(gateways int) {
	for number := range 3 {
		f.seeds = append(f.seeds, freeAddress())
		name := fmt.Sprintf("control-%d", number)
		f.addresses["operators-"+name], f.addresses["directory-"+name] = freeAddress(), freeAddress()
		f.define(name, processSettings{
			role: "control", zone: fmt.Sprintf("z%d", number), inner: f.seeds[number], bootstrap: true,
			listen: fmt.Sprintf("  operators: %s\n  directory: %s\n", f.addresses["operators-"+name], f.addresses["directory-"+name]),
		})
	}
	for number := range 3 {
		f.define(fmt.Sprintf("ledger-%d", number), processSettings{role: "ledger", zone: fmt.Sprintf("z%d", number), inner: freeAddress(), bootstrap: true})
	}
	for number := range gateways {
		name := fmt.Sprintf("gateway-%d", number)
		f.addresses[name], f.addresses["ready-"+name] = freeAddress(), freeAddress()
		f.define(name, processSettings{
			role: "gateway", zone: fmt.Sprintf("z%d", number%3), inner: freeAddress(), bootstrap: true,
			listen: fmt.Sprintf("  callers: %s\n  readiness: %s\n", f.addresses[name], f.addresses["ready-"+name]),
		})
	}
	for name := range f.settings {
		f.start(name)
	}
}

func (f *fleet) define(name string, settings processSettings) {
	settings.metrics = freeAddress()
	f.settings[name] = settings
	f.addresses["metrics-"+name] = settings.metrics
}

// writeSettings writes the settings file of a process in the form of deploy/process.yaml.
func (f *fleet) writeSettings(name string) {
	s := f.settings[name]
	seeds, _ := json.Marshal(f.seeds)
	text := fmt.Sprintf("role: %s\nname: %s\nzone: %s\nregion: r\ninterface: platform\nlisten:\n  address: %q\n  http: %q\n%s"+
		"limits:\n  memory_mb: %d\n  cpu_share: 0.8\n  grace_s: 8\ndata:\n  path: %q\ncluster:\n  seeds: %s\n  bootstrap: %t\n  tolerated_machines: 1\n  ledger_groups: %d\n  engine_heartbeat_ms: %d\n",
		s.role, name, s.zone, s.inner, s.metrics, s.listen, memoryMB, f.dataFolder(name), seeds, s.bootstrap, ledgerGroups, heartbeatMs)
	if err := os.WriteFile(filepath.Join(f.folder, name+".yaml"), []byte(text), 0o600); err != nil {
		f.record.cannotRun("settings of %s: %v", name, err)
	}
}

func (f *fleet) dataFolder(name string) string { return filepath.Join(f.folder, "data", name) }

// start starts a process with the command of its role in the deploy file.
func (f *fleet) start(name string) {
	f.writeSettings(name)
	log, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.record.cannotRun("log of %s: %v", name, err)
	}
	defer log.Close()
	command := exec.Command(f.program, f.settings[name].role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OCHREBAY_CONFIG=" + filepath.Join(f.folder, name+".yaml")}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		f.record.cannotRun("starting %s: %v", name, err)
	}
	f.mutex.Lock()
	f.processes[name] = command
	f.mutex.Unlock()
}

func (f *fleet) signal(name string, signal syscall.Signal) {
	f.mutex.Lock()
	process := f.processes[name]
	f.mutex.Unlock()
	if process != nil {
		_ = process.Process.Signal(signal)
	}
}

// end sends a signal that ends a process, and waits until it has ended, at most for the grace time.
func (f *fleet) end(name string, signal syscall.Signal) {
	f.mutex.Lock()
	process := f.processes[name]
	f.mutex.Unlock()
	_ = process.Process.Signal(signal)
	ended := make(chan struct{})
	go func() { _ = process.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		_ = process.Process.Kill()
		<-ended
	}
	f.mutex.Lock()
	delete(f.processes, name)
	f.mutex.Unlock()
}

// wipe removes the disk of a process that has ended. Later starts are not the first of the system.
func (f *fleet) wipe(name string) {
	if err := os.RemoveAll(f.dataFolder(name)); err != nil {
		f.record.cannotRun("removing the disk of %s: %v", name, err)
	}
	f.firstStartIsOver()
}

// firstStartIsOver tells later starts that they are not the first of the system.
func (f *fleet) firstStartIsOver() {
	for name, settings := range f.settings {
		settings.bootstrap = false
		f.settings[name] = settings
	}
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, process := range f.processes {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		_ = process.Wait()
	}
	f.processes = map[string]*exec.Cmd{}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// metric returns a figure that a process tells about itself, -1 if it does not answer.
func (f *fleet) metric(name, metric string) float64 {
	client := http.Client{Timeout: 200 * time.Millisecond}
	response, err := client.Get("http://" + f.addresses["metrics-"+name] + "/metrics")
	if err != nil {
		return -1
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	for _, line := range strings.Split(string(body), "\n") {
		if value, found := strings.CutPrefix(line, metric+" "); found {
			number, _ := strconv.ParseFloat(value, 64)
			return number
		}
	}
	return -1
}

// control sends an order or a heartbeat to the control processes, one after the other, until one
// answers with a status below 500.
func (f *fleet) control(method, path, body string) int {
	for number := range 3 {
		if status := f.controlAt(number, method, path, body); status > 0 && status < 500 {
			return status
		}
	}
	return 0
}

// controlAt sends a call to one control process, and returns the status of the answer, 0 if none came
// within a second.
func (f *fleet) controlAt(number int, method, path, body string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, _ := http.NewRequest(method, "http://"+f.addresses[fmt.Sprintf("operators-control-%d", number)]+path, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// resolve returns the gateways that the directory names.
func (f *fleet) resolve() []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for number := range 3 {
		response, err := client.Get("http://" + f.addresses[fmt.Sprintf("directory-control-%d", number)] + "/ochrebay/resolve?name=" + host + "&region=r&zone=z0")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// configure sends the configuration until it is acknowledged, and waits until the directory names
// all gateways.
func (f *fleet) configure(configuration string, gateways int) {
	deadline := time.Now().Add(20 * time.Second)
	for status := 0; status != 200; {
		if status = f.control("POST", "/ochrebay/Config.Replace", configuration); time.Now().After(deadline) {
			f.record.cannotRun("the configuration was not acknowledged")
		}
		time.Sleep(50 * time.Millisecond)
	}
	for len(f.resolve()) < gateways {
		if time.Now().After(deadline) {
			f.record.cannotRun("the directory does not name %d gateways", gateways)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// keepRegistered sends the heartbeats of an engine.
func (f *fleet) keepRegistered(backend, id, address, zone string, slots int) {
	go func() {
		for sequence := 1; ; sequence++ {
			body := fmt.Sprintf(`{"backend":%q,"address":%q,"zone":%q,"generation":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"seq":%d}`, backend, address, zone, slots, sequence)
			f.control("POST", "/ochrebay/Instances.Heartbeat/"+id, body)
			time.Sleep(heartbeatMs * time.Millisecond)
		}
	}()
}
