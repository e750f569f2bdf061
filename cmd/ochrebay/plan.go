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
	readyTimeout = time.Second
	readyPause   = 50 * time.Millisecond
)

func registerPlan(app *kingpin.Application, registered commands) {
	plan := app.Command("plan", "Write the settings files of a fleet and the list of its processes; start nothing.\n\nExample: ochrebay plan --deployment deployments/small.yaml --data run")
	deployment := plan.Flag("deployment", "Deployment file.").Required().String()
	data := plan.Flag("data", "Folder of the fleet.").Required().String()
	scale := plan.Flag("time-scale", "How much faster than real time stand-ins run.").Default("1").Float64()
	registered[plan.FullCommand()] = withoutContext(func() error { return runPlan(*deployment, *data, *scale) })

	wait := app.Command("wait", "Wait until every process of a fleet is ready.\n\nExample: ochrebay wait --data run control")
	folder := wait.Flag("data", "Folder of the fleet.").Required().String()
	timeout := wait.Flag("timeout", "How long to wait.").Default("60s").Duration()
	prefixes := wait.Arg("prefix", "Only processes whose names begin so.").Strings()
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

// processLine is one line of a fleet's addresses file: NAME PID IP:PORT.
type processLine struct {
	name    string
	address string
}

// readAddresses returns the processes of a fleet whose names begin with one of
// the prefixes; all where there is none.
func readAddresses(folder string, prefixes ...string) ([]processLine, error) {
	file, err := os.Open(folder + "/addresses")
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var lines []processLine
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		words := strings.Fields(scanner.Text())
		if len(words) == 3 && hasPrefix(words[0], prefixes) {
			lines = append(lines, processLine{name: words[0], address: words[2]})
		}
	}
	return lines, scanner.Err()
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
	lines, err := readAddresses(folder, prefixes...)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(timeout)
	for _, line := range lines {
		for !isReady(line.address) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%s at %s is not ready after %s", line.name, line.address, timeout)
			}
			time.Sleep(readyPause)
		}
	}
	return nil
}

func isReady(address string) bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/readyz", readyTimeout)
	return err == nil && status == fasthttp.StatusOK
}
