package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/control"
	"github.com/ochrebay/ochrebay/internal/emulator"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/workload"
)

func user(text string) program.Message { return program.Message{Role: "user", Content: text} }

func assistant(text string) program.Message {
	return program.Message{Role: "assistant", Content: text}
}

// TestPath tests the requests of callers and operators against one fleet.
func TestPath(t *testing.T) {
	f := startFleet(t, "small.yaml")
	t.Run("engine killed between two turns", func(t *testing.T) { testEngineKilledBetweenTurns(t, f) })
	t.Run("requests", func(t *testing.T) { testRequests(t, f) })
	t.Run("bad input", func(t *testing.T) { testBadInput(t, f) })
	t.Run("operators", func(t *testing.T) { testOperators(t, f) })
	t.Run("model change", func(t *testing.T) { testModelChange(t, f) })
	t.Run("leaving engine", func(t *testing.T) { testLeavingEngine(t, f) })
}

func testEngineKilledBetweenTurns(t *testing.T, f *fleet) {
	Convey("after the engine of a program dies between two turns, the next turn is answered with the complete history", t, func() {
		client := f.client()
		first, err := client.Do(context.Background(), workload.Call{Service: "triage", Messages: []program.Message{user("vibration #out=20")}})
		So(err, ShouldBeNil)
		So(first.Error, ShouldBeNil)
		var view control.ProgramView
		So(json.Unmarshal([]byte(f.mustRun("program", "show", first.Program, "--output", "json")), &view), ShouldBeNil)
		f.runScript("kill", view.Engine)
		second, err := client.Do(context.Background(), workload.Call{
			Service: "triage", Program: first.Program, Messages: []program.Message{user("and the gearbox? #out=20")}, TimeoutMs: waitTimeout.Milliseconds(),
		})
		So(err, ShouldBeNil)
		So(second.Error, ShouldBeNil)
		history := []program.Message{user("vibration #out=20"), assistant(first.Content), user("and the gearbox? #out=20")}
		So(second.Content, ShouldStartWith, emulator.ResponsePrefix(history))
		So(json.Unmarshal([]byte(f.mustRun("program", "show", first.Program, "--output", "json")), &view), ShouldBeNil)
		So(view.LastTurn, ShouldEqual, 2)
		So(view.Turns[0].Engine, ShouldNotEqual, view.Turns[1].Engine)
		f.runScript("start", view.Turns[0].Engine)
		f.waitReady(view.Turns[0].Engine)
	})
}

func testRequests(t *testing.T, f *fleet) {
	client := f.client()
	do := func(call workload.Call) workload.Reply {
		reply, err := client.Do(context.Background(), call)
		So(err, ShouldBeNil)
		return reply
	}
	Convey("a repeated request ID returns the same response and is not executed again", t, func() {
		call := workload.Call{Service: "notices", RequestID: "ack-1", AtMostOnce: true, Messages: []program.Message{user("ack #out=10")}}
		first := do(call)
		So(first.Error, ShouldBeNil)
		again := do(call)
		So(again.Program, ShouldEqual, first.Program)
		So(again.Content, ShouldEqual, first.Content)
		runs := 0
		for _, process := range f.addresses("engine-notices") {
			_, _, body := httpDo(t, "GET", "http://"+process.address+"/v1/emulator/served", "", nil)
			served := map[string]int{}
			So(json.Unmarshal([]byte(body), &served), ShouldBeNil)
			runs += served["ack-1"]
		}
		So(runs, ShouldEqual, 1)
		call.Messages = []program.Message{user("something else")}
		So(do(call).Error.Code, ShouldEqual, result.RequestConflict)
	})
	Convey("a complete history is verified, new messages alone suffice, and a sub-agent forks the thread", t, func() {
		first := do(workload.Call{Service: "triage", Messages: []program.Message{user("one #out=10")}})
		fullHistory := []program.Message{user("one #out=10"), assistant(first.Content), user("two #out=10")}
		second := do(workload.Call{Service: "triage", Program: first.Program, Messages: fullHistory})
		So(second.Error, ShouldBeNil)
		So(second.Content, ShouldStartWith, emulator.ResponsePrefix(fullHistory))
		wrong := []program.Message{user("one #out=10"), assistant("never said"), user("three")}
		So(do(workload.Call{Service: "triage", Program: first.Program, Messages: wrong}).Error.Code, ShouldEqual, result.HistoryMismatch)
		forked := do(workload.Call{Service: "triage", Program: first.Program, Thread: "bearing", Messages: []program.Message{user("sub #out=10")}})
		So(forked.Content, ShouldStartWith, emulator.ResponsePrefix(append(fullHistory, assistant(second.Content), user("sub #out=10"))))
		orphan := do(workload.Call{Service: "triage", Program: first.Program, Thread: "x", ParentThread: "nowhere", Messages: []program.Message{user("sub")}})
		So(orphan.Error.Code, ShouldEqual, result.UnknownThread)
		_, _, body := httpDo(t, "GET", "http://"+f.address("sidecar-")+"/v1/programs/"+first.Program+"/history?thread=bearing", "", nil)
		var history struct{ Messages []program.Message }
		So(json.Unmarshal([]byte(body), &history), ShouldBeNil)
		So(len(history.Messages), ShouldEqual, 6)
	})
	Convey("when a program ends, its engine memory is released and later calls are rejected", t, func() {
		first := do(workload.Call{Service: "triage", Messages: []program.Message{user("end soon #out=10")}})
		status, _, body := httpDo(t, "DELETE", "http://"+f.address("sidecar-")+"/v1/programs/"+first.Program, "", nil)
		So(status, ShouldEqual, http.StatusOK)
		So(body, ShouldContainSubstring, `"state":"ended"`)
		So(do(workload.Call{Service: "triage", Program: first.Program, Messages: []program.Message{user("more")}}).Error.Code, ShouldEqual, result.ProgramClosed)
		f.waitFor("engines to release the program", func() bool { return !f.isHeld(first.Program) })
	})
	Convey("engine memory is also released when an operator ends a program", t, func() {
		first := do(workload.Call{Service: "triage", Messages: []program.Message{user("operator #out=10")}})
		f.mustRun("program", "end", first.Program)
		f.waitFor("engines to release the program", func() bool { return !f.isHeld(first.Program) })
	})
	Convey("a budget is enforced, and the error reports that the request was not run", t, func() {
		first := do(workload.Call{Service: "triage", BudgetTokens: 500, MaxTokens: 20, Messages: []program.Message{user(workload.Text("a", 400, 20))}})
		So(first.Error, ShouldBeNil)
		rejected := do(workload.Call{Service: "triage", Program: first.Program, MaxTokens: 20, Messages: []program.Message{user(workload.Text("b", 400, 20))}})
		So(rejected.Error.Code, ShouldEqual, result.BudgetExhausted)
		So(rejected.Error.Outcome, ShouldEqual, result.NotRun)
	})
	Convey("a response without streaming has the format of the OpenAI API", t, func() {
		status, headers, body := httpDo(t, "POST", "http://"+f.address("sidecar-")+"/v1/chat/completions",
			`{"model":"triage","messages":[{"role":"user","content":"x #out=12"}]}`, nil)
		So(status, ShouldEqual, http.StatusOK)
		So(headers.Get("Ochrebay-Turn"), ShouldEqual, "1")
		So(body, ShouldContainSubstring, `"object":"chat.completion"`)
		So(body, ShouldContainSubstring, `"finish_reason":"stop"`)
	})
}

// isHeld reports whether an engine holds memory for a program; also true if an engine can't be
// queried.
func (f *fleet) isHeld(id string) bool {
	for _, process := range f.addresses("engine-") {
		state, err := f.engineState(process.name)
		if err != nil {
			return true
		}
		for _, item := range state.CachedPrograms {
			if item.Program == id {
				return true
			}
		}
	}
	return false
}

func testBadInput(t *testing.T, f *fleet) {
	url := "http://" + f.address("sidecar-") + "/v1/chat/completions"
	good := `{"model":"triage","messages":[{"role":"user","content":"x"}]}`
	first, err := f.client().Do(context.Background(), workload.Call{Service: "triage", Tenant: "a", Messages: []program.Message{user("mine #out=8")}})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name    string
		method  string
		body    string
		headers map[string]string
		code    result.Code
	}{
		{"malformed JSON", "POST", `{"model":`, nil, result.MalformedRequest},
		{"no model", "POST", `{"messages":[{"role":"user","content":"x"}]}`, nil, result.MalformedRequest},
		{"no messages", "POST", `{"model":"triage","messages":[]}`, nil, result.MalformedRequest},
		{"message without a role", "POST", `{"model":"triage","messages":[{"content":"x"}]}`, nil, result.MalformedRequest},
		{"body over the limit", "POST", `{"model":"triage","messages":[{"role":"user","content":"` + strings.Repeat("x", 9<<20) + `"}]}`, nil, result.BodyTooLarge},
		{"unknown service", "POST", strings.Replace(good, "triage", "nothing", 1), nil, result.UnknownService},
		{"unknown program", "POST", good, map[string]string{"Ochrebay-Program": "p-none"}, result.NotFound},
		{"program of another tenant", "POST", good, map[string]string{"Ochrebay-Program": first.Program, "Ochrebay-Tenant": "b"}, result.ForeignProgram},
		{"program of another service", "POST", strings.Replace(good, "triage", "notices", 1), map[string]string{"Ochrebay-Program": first.Program, "Ochrebay-Tenant": "a"}, result.ForeignProgram},
		{"deadline already past", "POST", good, map[string]string{"Ochrebay-Deadline-Ms": "0"}, result.DeadlinePassed},
		{"deadline that is not a number", "POST", good, map[string]string{"Ochrebay-Deadline-Ms": "soon"}, result.InvalidHeader},
		{"repeatable header that is not a boolean", "POST", good, map[string]string{"Ochrebay-Repeatable": "perhaps"}, result.InvalidHeader},
		{"request ID over the length limit", "POST", good, map[string]string{"Ochrebay-Request": strings.Repeat("x", 200)}, result.InvalidHeader},
		{"wrong method", "GET", "", nil, result.MethodNotAllowed},
	}
	Convey("invalid requests get an error with its code in the common format, and nothing is executed", t, func() {
		before := f.mustRun("program", "list", "--limit", "10000", "--output", "json")
		for _, item := range cases {
			status, headers, body := httpDo(t, item.method, url, item.body, item.headers)
			var failure result.Body
			So(json.Unmarshal([]byte(body), &failure), ShouldBeNil)
			So(fmt.Sprint(item.name, ": ", failure.Error.Code), ShouldEqual, fmt.Sprint(item.name, ": ", item.code))
			So(status, ShouldEqual, result.Describe(item.code).HTTPStatus)
			So(failure.Error.Type, ShouldEqual, item.code.String())
			So(failure.Error.Outcome, ShouldEqual, result.NotRun)
			So(headers.Get("Retry-After") != "", ShouldEqual, failure.Error.RetryAfterMs > 0)
		}
		So(f.mustRun("program", "list", "--limit", "10000", "--output", "json"), ShouldEqual, before)
	})
}

func testOperators(t *testing.T, f *fleet) {
	Convey("a change is in force on every daemon, regardless of the member that received it", t, func() {
		for index, process := range f.addresses("control-") {
			arguments := []string{"settings", "set", "/services/triage", fmt.Sprint("max_turns=", 70+index), "--wait", "--timeout", waitTimeout.String(), "--control.address", process.address}
			So(f.mustRun(arguments...), ShouldContainSubstring, "in force on every live daemon")
			So(f.mustRun("settings", "get", "/services/triage", "--control.address", process.address), ShouldContainSubstring, fmt.Sprint(70+index))
		}
	})
	Convey("when operators change the same version, one wins and the other gets the winning change", t, func() {
		var view control.SettingsView
		So(json.Unmarshal([]byte(f.mustRun("settings", "get", "/services/notices", "--output", "json")), &view), ShouldBeNil)
		version := fmt.Sprint(view.Version)
		f.mustRun("settings", "set", "/services/notices", "rank=3", "--operator", "ana", "--number", "7", "--version", version)
		resent := f.mustRun("settings", "set", "/services/notices", "rank=3", "--operator", "ana", "--number", "7", "--version", version)
		So(resent, ShouldContainSubstring, "accepted")
		rejected, status := f.run("settings", "set", "/services/notices", "rank=4", "--operator", "ion", "--number", "7", "--version", version)
		So(status, ShouldEqual, 1)
		So(rejected, ShouldContainSubstring, "settings_conflict")
		So(rejected, ShouldContainSubstring, `"operator":"ana"`)
		reused, status := f.run("settings", "set", "/services/notices", "rank=5", "--operator", "ana", "--number", "7", "--version", "any")
		So(status, ShouldEqual, 1)
		So(reused, ShouldContainSubstring, "change_number_reuse")
	})
	Convey("an invalid change is rejected with its path and field, and changes nothing", t, func() {
		before := f.status().Revision
		output, status := f.run("settings", "set", "/services/triage", "rank=12")
		So(status, ShouldEqual, 1)
		So(output, ShouldContainSubstring, "/services/triage")
		So(output, ShouldContainSubstring, "rank")
		output, status = f.run("settings", "set", "/services/triage", "rnak=1")
		So(status, ShouldEqual, 2)
		So(output, ShouldContainSubstring, "rnak")
		_, status = f.run("settings", "delete", "/pools/agents")
		So(status, ShouldEqual, 1)
		_, status = f.run("settings", "validate", "/pools/agents", "role=cook")
		So(status, ShouldEqual, 1)
		So(f.mustRun("settings", "validate", "/pools/agents", "role=serve"), ShouldContainSubstring, "valid")
		So(f.status().Revision, ShouldEqual, before)
	})
	Convey("each daemon serves its health, readiness and metrics", t, func() {
		for _, process := range f.addresses("") {
			for path, expected := range map[string]string{"/healthz": "ok", "/readyz": "ready", "/metrics": "ochrebay_"} {
				status, _, body := httpDo(t, "GET", "http://"+process.address+path, "", nil)
				So(fmt.Sprint(process.name, path, status), ShouldEqual, fmt.Sprint(process.name, path, 200))
				So(body, ShouldContainSubstring, expected)
			}
		}
	})
	Convey("an invalid settings file is rejected with one clear line and exit status 2, before anything starts", t, func() {
		raw, err := os.ReadFile(filepath.Join(f.data, "etc", "control-1.yaml"))
		So(err, ShouldBeNil)
		replacements := map[string][2]string{
			"unknown field":  {"zone: east", "zone: east\nzoen: west"},
			"missing zone":   {"zone: east\nlisten", "listen"},
			"bad log level":  {"level: info", "level: loud"},
			"host name":      {"http: 127.0.0.1", "http: localhost"},
			"data path gone": {"data:\n  path: " + filepath.Join(f.data, "data", "control-1"), "data: {}"},
		}
		expected := map[string]string{
			"unknown field": "zoen", "missing zone": "zone: is missing", "bad log level": `log.level: "loud"`,
			"host name": "listen.http", "data path gone": "data.path",
		}
		for name, replacement := range replacements {
			So(string(raw), ShouldContainSubstring, replacement[0])
			file := filepath.Join(t.TempDir(), "bad.yaml")
			So(os.WriteFile(file, []byte(strings.Replace(string(raw), replacement[0], replacement[1], 1)), 0o600), ShouldBeNil)
			for _, arguments := range [][]string{{"check-config", file}, {"control", "--config.file", file}} {
				output, status := runBinary(arguments...)
				So(fmt.Sprint(name, status), ShouldEqual, fmt.Sprint(name, 2))
				So(output, ShouldContainSubstring, file)
				So(output, ShouldContainSubstring, expected[name])
				So(strings.Count(strings.TrimSpace(output), "\n"), ShouldEqual, 0)
			}
		}
	})
	Convey("a second process on the same data folder is rejected", t, func() {
		output, status := runBinary("control", "--config.file", filepath.Join(f.data, "etc", "control-1.yaml"), "--listen.address", "127.0.0.1:0", "--listen.http", "127.0.0.1:0")
		So(status, ShouldEqual, 2)
		So(output, ShouldContainSubstring, "another process uses this data folder")
	})
}

func testModelChange(t *testing.T, f *fleet) {
	Convey("a model version change reaches every engine, and the number of ready engines never drops below the floor of one", t, func() {
		f.mustRun("settings", "set", "/pools/agents", "version=2", "--wait", "--timeout", waitTimeout.String())
		lowest := 2
		f.waitFor("all engines to serve version 2", func() bool {
			ready, updated := 0, 0
			for _, process := range f.addresses("engine-agents") {
				state, err := f.engineState(process.name)
				if err != nil {
					continue
				}
				if state.Ready {
					ready++
				}
				if state.Ready && state.Target.Version == "2" {
					updated++
				}
			}
			lowest = min(lowest, ready)
			return updated == 2
		})
		So(lowest, ShouldBeGreaterThanOrEqualTo, 1)
	})
	Convey("an engine rejects an order with an older fence", t, func() {
		status, _, body := httpDo(t, "POST", "http://"+f.address("engine-agents-1")+"/v1/engine/orders",
			`{"fence":{"epoch":0,"revision":1},"target":{"model":"other"}}`, nil)
		So(status, ShouldEqual, result.Describe(result.StaleOrder).HTTPStatus)
		So(body, ShouldContainSubstring, "stale_order")
	})
}

func testLeavingEngine(t *testing.T, f *fleet) {
	Convey("a leaving engine gets no new requests from a second after the directory shows that it is leaving", t, func() {
		platform := "http://" + f.address("platform") + "/v1/instances/engine-agents-1"
		status, _, _ := httpDo(t, "PUT", platform, `{"leaving":true}`, nil)
		So(status, ShouldEqual, http.StatusOK)
		f.waitFor("the directory to show it leaving", func() bool {
			return strings.Contains(f.mustRun("engines", "--output", "json"), `"leaving":true`)
		})
		time.Sleep(time.Second)
		served := func() string {
			_, _, body := httpDo(t, "GET", "http://"+f.address("engine-agents-1")+"/v1/emulator/served", "", nil)
			return body
		}
		before := served()
		for range 8 {
			reply, err := f.client().Do(context.Background(), workload.Call{Service: "triage", Messages: []program.Message{user("x #out=8")}, TimeoutMs: waitTimeout.Milliseconds()})
			So(err, ShouldBeNil)
			So(reply.Error, ShouldBeNil)
		}
		So(served(), ShouldEqual, before)
	})
}
