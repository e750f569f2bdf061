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

// patience bounds every wait of these tests; it is no measure of anything.
const patience = 90 * time.Second

var testBinary string

// TestMain builds the binary that the fleets of these tests run.
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

// fleet is a running fleet of real processes.
type fleet struct {
	t    *testing.T
	data string
}

func startFleet(t *testing.T, deployment string) *fleet {
	t.Helper()
	f := &fleet{t: t, data: t.TempDir()}
	t.Cleanup(func() {
		f.script("down")
		if t.Failed() {
			f.showWarnings()
		}
	})
	f.script("up", "--deployment", "../../deployments/"+deployment)
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

func (f *fleet) script(words ...string) {
	f.t.Helper()
	command := exec.Command("../../scripts/fleet", append(words, "--data", f.data)...)
	command.Env = append(os.Environ(), "OCHREBAY_BINARY="+testBinary)
	if output, err := command.CombinedOutput(); err != nil {
		f.t.Fatalf("fleet %v: %v\n%s", words, err, output)
	}
}

// run runs one ochrebay command against the fleet and returns its exit status.
func (f *fleet) run(words ...string) (string, int) {
	f.t.Helper()
	command := exec.Command(testBinary, append(words, "--data", f.data)...)
	output, err := command.CombinedOutput()
	if err != nil && command.ProcessState == nil {
		f.t.Fatalf("ochrebay %v: %v", words, err)
	}
	return string(output), command.ProcessState.ExitCode()
}

func (f *fleet) must(words ...string) string {
	f.t.Helper()
	output, status := f.run(words...)
	if status != 0 {
		f.t.Fatalf("ochrebay %v: exit status %d\n%s", words, status, output)
	}
	return output
}

func (f *fleet) addresses(prefix string) []processLine {
	f.t.Helper()
	lines, err := readAddresses(f.data, prefix)
	if err != nil {
		f.t.Fatal(err)
	}
	return lines
}

func (f *fleet) address(name string) string {
	f.t.Helper()
	lines := f.addresses(name)
	if len(lines) == 0 {
		f.t.Fatalf("no process %s", name)
	}
	return lines[0].address
}

func (f *fleet) client() *workload.Client {
	return workload.NewClient(f.address("sidecar-"))
}

func (f *fleet) status() control.StatusView {
	f.t.Helper()
	var view control.StatusView
	if err := json.Unmarshal([]byte(f.must("status", "--output", "json")), &view); err != nil {
		f.t.Fatal(err)
	}
	return view
}

func (f *fleet) engineState(name string) (engine.State, error) {
	return engine.NewClient().State(context.Background(), f.address(name), true)
}

// until polls a condition with a generous limit.
func (f *fleet) until(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("waited in vain for: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// ready waits until a restarted process serves again.
func (f *fleet) ready(prefix string) {
	f.t.Helper()
	for _, line := range f.addresses(prefix) {
		f.until(line.name+" to be ready", func() bool { return isReady(line.address) })
	}
}

// driver returns a driver of the fleet's own workload.
func (f *fleet) driver() *workload.Driver {
	f.t.Helper()
	driver, err := newDriver(f.data, 1)
	if err != nil {
		f.t.Fatal(err)
	}
	driver.RequestIDPrefix = fmt.Sprint("test-", time.Now().UnixNano())
	return driver
}

// underLoad drives programs while disturb runs, and returns their outcomes once
// both are done.
func (f *fleet) underLoad(driver *workload.Driver, programs []workload.Program, disturb func()) []workload.ProgramOutcome {
	f.t.Helper()
	done := make(chan []workload.ProgramOutcome, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	go func() { done <- driver.RunAll(ctx, programs) }()
	disturb()
	return <-done
}

// expectAllEnded fails the test for violations and for programs that were not
// answered to their end.
func (f *fleet) expectAllEnded(driver *workload.Driver, outcomes []workload.ProgramOutcome) {
	f.t.Helper()
	for _, violation := range driver.Violations() {
		f.t.Error("violation: ", violation)
	}
	for _, outcome := range outcomes {
		if outcome.Err != nil && !endedHonestly(outcome) {
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

func runBinary(words ...string) (string, int) {
	command := exec.Command(testBinary, words...)
	output, _ := command.CombinedOutput()
	return string(output), command.ProcessState.ExitCode()
}
