package stand

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The case "succession": four times in a row, the control machine that leads is gone for good and an
// empty one at another address takes its place. Each time the successor of the one before has had
// catchUpS. At the end the operator reads back the configuration that was acknowledged.

const (
	coreSize     = 5
	replacements = 4
	// comesAfter is the time from the loss of a machine until its successor starts.
	comesAfter = time.Second
	// margin is added to the time after which a machine stops to count as lost.
	margin = 100 * time.Millisecond
)

// succession is the core machines that run, in the order in which they started.
type succession struct {
	record *record
	fleet  *fleet
	core   []string
}

// updateSeeds writes the addresses of three core machines that run into all settings files, as the
// platform does when the operator's list has changed.
func (s *succession) updateSeeds() {
	s.fleet.seeds = nil
	for _, name := range s.core[max(0, len(s.core)-3):] {
		s.fleet.seeds = append(s.fleet.seeds, s.fleet.settings[name].inner)
	}
	for name := range s.fleet.settings {
		s.fleet.writeSettings(name)
	}
}

// addCore defines a core machine at a new address.
func (s *succession) addCore(number int, bootstrap bool) string {
	name := fmt.Sprintf("control-%d", number)
	f := s.fleet
	f.addresses["operators-"+name], f.addresses["directory-"+name] = freeAddress(), freeAddress()
	f.define(name, processSettings{
		role: "control", zone: fmt.Sprintf("z%d", number%3), inner: freeAddress(), bootstrap: bootstrap,
		listen: fmt.Sprintf("  operators: %s\n  directory: %s\n", f.addresses["operators-"+name], f.addresses["directory-"+name]),
	})
	s.core = append(s.core, name)
	return name
}

// leader returns the core machine that says it leads, "" if none does.
func (s *succession) leader() string {
	for _, name := range s.core {
		if s.fleet.metric(name, "ochrebay_groups_led") > 0 {
			return name
		}
	}
	return ""
}

// call sends a call of the operator to one core machine after the other, until one answers with a
// status below 500.
func (s *succession) call(method, path, body string) (status int, answer string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, name := range s.core {
		request, _ := http.NewRequest(method, "http://"+s.fleet.addresses["operators-"+name]+path, strings.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			s.record.logf("%s %s at %s: no answer within a second", method, path, name)
			continue
		}
		raw, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode < 500 {
			return response.StatusCode, string(raw)
		}
		s.record.logf("%s %s at %s: status %d", method, path, name, response.StatusCode)
	}
	return 0, ""
}

// replaceConfiguration sends a configuration until it is acknowledged, for at most some time.
func (s *succession) replaceConfiguration(generation int, within time.Duration) bool {
	body := strings.Replace(plainConfiguration(), `"generation":7`, fmt.Sprintf(`"generation":%d`, generation), 1)
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if status, _ := s.call("POST", "/ochrebay/Config.Replace", body); status == 200 {
			s.record.logf("configuration %d is acknowledged", generation)
			return true
		}
	}
	s.record.logf("configuration %d gets no acknowledgement within %s", generation, within)
	return false
}

func runSuccession(record *record, fleet *fleet, trouble bool) {
	s := &succession{record: record, fleet: fleet}
	for number := range coreSize {
		s.addCore(number, true)
	}
	for _, name := range s.core[:3] {
		fleet.seeds = append(fleet.seeds, fleet.settings[name].inner)
	}
	for number := range 3 {
		fleet.define(fmt.Sprintf("ledger-%d", number), processSettings{role: "ledger", zone: fmt.Sprintf("z%d", number), inner: freeAddress(), bootstrap: true})
	}
	fleet.addresses["gateway-0"], fleet.addresses["ready-gateway-0"] = freeAddress(), freeAddress()
	fleet.define("gateway-0", processSettings{role: "gateway", zone: "z0", inner: freeAddress(), bootstrap: true, listen: fmt.Sprintf("  callers: %s\n  readiness: %s\n", fleet.addresses["gateway-0"], fleet.addresses["ready-gateway-0"])})
	for name := range fleet.settings {
		fleet.start(name)
	}
	// Traffic starts 10 s after the machines.
	time.Sleep(10 * time.Second)
	if !s.replaceConfiguration(7, 10*time.Second) {
		record.cannotRun("the first configuration was not acknowledged")
	}
	fleet.firstStartIsOver()
	time.Sleep(contact)
	newest := 7
	for round := range replacements {
		if trouble && !s.replaceLeader(coreSize+round) {
			record.cannotRun("no core machine leads")
		}
		startedAt := time.Now()
		if round < replacements-1 && s.replaceConfiguration(newest+1, catchUp-time.Second) {
			newest++
		}
		time.Sleep(time.Until(startedAt.Add(catchUp + margin)))
	}
	record.logf("%d core machines run, and all of them have had catchUpS", len(s.core))
	time.Sleep(recovery)
	// The operator reads the configuration back, repeatedly, for contactMs or longer.
	for deadline := time.Now().Add(2 * contact); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		status, answer := s.call("GET", "/ochrebay/Config.Read", "")
		if status != 200 {
			continue
		}
		if !strings.Contains(answer, fmt.Sprintf(`"generation":%d,`, newest)) {
			record.end(exitBroken, "broken: CONFIG, the configuration read back is not version %d, the newest that was acknowledged", newest)
		}
		record.logf("configuration %d is read back", newest)
		return
	}
	acknowledged := s.replaceConfiguration(newest+1, 4*time.Second)
	record.end(exitBroken, "broken: CONFIG, version %d was acknowledged and doesn't come when it is read back; a new version is acknowledged: %t", newest, acknowledged)
}

// replaceLeader ends the core machine that leads for good, and starts an empty one at another address.
func (s *succession) replaceLeader(number int) bool {
	leader := ""
	for deadline := time.Now().Add(3 * time.Second); leader == ""; leader = s.leader() {
		if time.Now().After(deadline) {
			return false
		}
	}
	s.fleet.end(leader, syscall.SIGKILL)
	s.core = slices.DeleteFunc(s.core, func(name string) bool { return name == leader })
	delete(s.fleet.settings, leader)
	s.record.logf("%s, which leads, is gone for good", leader)
	time.Sleep(comesAfter)
	name := s.addCore(number, false)
	s.updateSeeds()
	s.fleet.start(name)
	s.record.logf("%s starts empty at another address", name)
	return true
}
