package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/ochrebay/ochrebay/internal/control"
	"github.com/ochrebay/ochrebay/internal/engine"
	"github.com/ochrebay/ochrebay/internal/workload"
)

// waitTimeout bounds every wait of these tests; it is generous and no requirement on any latency.
const waitTimeout = 90 * time.Second

var testBinary string

// TestMain builds the binary that the test fleets run.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "ochrebay-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	testBinary = filepath.Join(folder, "ochrebay")
	build := exec.Command("go", "build", "-o", testBinary, ".")
	build.Stderr = os.Stderr
	status := 1
	if build.Run() == nil {
		status = m.Run()
	}
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

// fleet is a running fleet of real processes, controlled by scripts/fleet.
type fleet struct {
	t    *testing.T
	data string
}

func startFleet(t *testing.T, deployment string) *fleet {
	t.Helper()
	f := &fleet{t: t, data: t.TempDir()}
	t.Cleanup(func() {
		f.runScript("down")
		if t.Failed() {
			f.showWarnings()
		}
	})
	f.runScript("up", "--deployment", "../../deployments/"+deployment)
	return f
}

func (f *fleet) showWarnings() {
	logs, _ := filepath.Glob(f.data + "/log/*.log")
	for _, file := range logs {
		raw, _ := os.ReadFile(file)
		for _, line := range strings.Split(string(raw), "\n") {
			if strings.Contains(line, "level=warn") || strings.Contains(line, "panic") || strings.Contains(line, "goroutine ") {
				f.t.Log(filepath.Base(file), line)
			}
		}
	}
}

func (f *fleet) runScript(arguments ...string) {
	f.t.Helper()
	command := exec.Command("../../scripts/fleet", append(arguments, "--data", f.data)...)
	command.Env = append(os.Environ(), "OCHREBAY_BINARY="+testBinary)
	if output, err := command.CombinedOutput(); err != nil {
		f.t.Fatalf("fleet %v: %v\n%s", arguments, err, output)
	}
}

// run runs one ochrebay command against the fleet and returns its output and exit status.
func (f *fleet) run(arguments ...string) (string, int) {
	f.t.Helper()
	command := exec.Command(testBinary, append(arguments, "--data", f.data)...)
	output, err := command.CombinedOutput()
	if err != nil && command.ProcessState == nil {
		f.t.Fatalf("ochrebay %v: %v", arguments, err)
	}
	return string(output), command.ProcessState.ExitCode()
}

func (f *fleet) mustRun(arguments ...string) string {
	f.t.Helper()
	output, status := f.run(arguments...)
	if status != 0 {
		f.t.Fatalf("ochrebay %v: exit status %d\n%s", arguments, status, output)
	}
	return output
}

func (f *fleet) addresses(prefix string) []fleetProcess {
	f.t.Helper()
	processes, err := readAddresses(f.data, prefix)
	if err != nil {
		f.t.Fatal(err)
	}
	return processes
}

func (f *fleet) address(name string) string {
	f.t.Helper()
	processes := f.addresses(name)
	if len(processes) == 0 {
		f.t.Fatalf("no process %s", name)
	}
	return processes[0].address
}

func (f *fleet) client() *workload.Client {
	return workload.NewClient(f.address("sidecar-"))
}

func (f *fleet) status() control.StatusView {
	f.t.Helper()
	var view control.StatusView
	if err := json.Unmarshal([]byte(f.mustRun("status", "--output", "json")), &view); err != nil {
		f.t.Fatal(err)
	}
	return view
}

func (f *fleet) engineState(name string) (engine.State, error) {
	return engine.NewClient().State(context.Background(), f.address(name), true)
}

// waitFor polls until the condition holds, and fails the test after waitTimeout.
func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// waitReady waits until all processes with a name prefix are ready.
func (f *fleet) waitReady(prefix string) {
	f.t.Helper()
	for _, process := range f.addresses(prefix) {
		f.waitFor(process.name+" to become ready", func() bool { return isReady(process.address) })
	}
}

// driver returns a workload driver for the fleet.
func (f *fleet) driver() *workload.Driver {
	f.t.Helper()
	driver, err := newDriver(f.data, 1)
	if err != nil {
		f.t.Fatal(err)
	}
	driver.RequestIDPrefix = fmt.Sprint("test-", time.Now().UnixNano())
	return driver
}

// runUnderLoad runs programs while disturb runs, and returns the outcomes once both are done.
func (f *fleet) runUnderLoad(driver *workload.Driver, programs []workload.Program, disturb func()) []workload.ProgramOutcome {
	f.t.Helper()
	done := make(chan []workload.ProgramOutcome, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	go func() { done <- driver.RunAll(ctx, programs) }()
	disturb()
	return <-done
}

// expectAllEnded fails the test for violations and for programs that did not complete.
func (f *fleet) expectAllEnded(driver *workload.Driver, outcomes []workload.ProgramOutcome) {
	f.t.Helper()
	for _, violation := range driver.Violations() {
		f.t.Error("violation: ", violation)
	}
	for _, outcome := range outcomes {
		if outcome.Err != nil && !hasUnknownOutcome(outcome) {
			f.t.Errorf("program %s (%s): %v", outcome.ID, outcome.Program.Service, outcome.Err)
		}
	}
}

func httpDo(t *testing.T, method, url, body string, headers map[string]string) (int, http.Header, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var text strings.Builder
	buffer := make([]byte, 4096)
	for {
		count, err := response.Body.Read(buffer)
		text.Write(buffer[:count])
		if err != nil {
			break
		}
	}
	return response.StatusCode, response.Header, text.String()
}

func runBinary(arguments ...string) (string, int) {
	command := exec.Command(testBinary, arguments...)
	output, _ := command.CombinedOutput()
	return string(output), command.ProcessState.ExitCode()
}
