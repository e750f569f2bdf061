package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/ochrebay/ochrebay/internal/workload"
)

const (
	readyTimeout      = time.Second
	readyPollInterval = 50 * time.Millisecond
)

func registerPlan(app *kingpin.Application, registered commands) {
	plan := app.Command("plan", "Write the settings files of a fleet and the list of its processes, without starting any.\n\nExample: ochrebay plan --deployment deployments/small.yaml --data run")
	deployment := plan.Flag("deployment", "Deployment file.").Required().String()
	data := plan.Flag("data", "Folder of the fleet.").Required().String()
	scale := plan.Flag("time-scale", "Ratio of virtual time to real time in the emulators.").Default("1").Float64()
	registered[plan.FullCommand()] = withoutContext(func() error { return runPlan(*deployment, *data, *scale) })

	wait := app.Command("wait", "Wait until every process of a fleet is ready.\n\nExample: ochrebay wait --data run control")
	folder := wait.Flag("data", "Folder of the fleet.").Required().String()
	timeout := wait.Flag("timeout", "Maximum time to wait.").Default("60s").Duration()
	prefixes := wait.Arg("prefix", "Wait only for processes whose names have one of these prefixes.").Strings()
	registered[wait.FullCommand()] = func(ctx context.Context) error {
		return runWait(ctx, *folder, *prefixes, *timeout)
	}
}

func runPlan(file, data string, scale float64) error {
	deployment, err := workload.LoadDeployment(file)
	if err != nil {
		return settingsError{err}
	}
	planned, err := workload.Plan(deployment, data, scale)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d processes planned below %s\n", deployment.Name, len(planned), data)
	return nil
}

// fleetProcess is one line of a fleet's addresses file: NAME PID IP:PORT.
type fleetProcess struct {
	name    string
	address string
}

// readAddresses returns the processes of a fleet whose names have one of the prefixes, or all
// processes if no prefix is given.
func readAddresses(folder string, prefixes ...string) ([]fleetProcess, error) {
	file, err := os.Open(folder + "/addresses")
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var processes []fleetProcess
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 3 && hasPrefix(fields[0], prefixes) {
			processes = append(processes, fleetProcess{name: fields[0], address: fields[2]})
		}
	}
	return processes, scanner.Err()
}

func hasPrefix(name string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return len(prefixes) == 0
}

func runWait(ctx context.Context, folder string, prefixes []string, timeout time.Duration) error {
	processes, err := readAddresses(folder, prefixes...)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(timeout)
	for _, process := range processes {
		for !isReady(process.address) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("process %s at %s is not ready after %s", process.name, process.address, timeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func isReady(address string) bool {
	_, status, err := httpRequest(fasthttp.MethodGet, "http://"+address+"/readyz", nil, readyTimeout)
	return err == nil && status == fasthttp.StatusOK
}
