package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	soakDeadline = 3 * time.Second
	// chainLengthCount is the number of possible lengths of a turn chain, from 2 turns.
	chainLengthCount = 10
	// soakBudget is the token budget of a program that exhausts its budget.
	soakBudget = 170
	// maxTurnTokens is the number of output tokens of a complete stream.
	maxTurnTokens = eventCount * eventTokens
)

// soak holds what the callers of a soak test have observed, and the violations.
type soak struct {
	fleet *platformFleet
	runs  *soakRuns
	// acknowledged is the newest generation that was acknowledged to the operator.
	acknowledged atomic.Int64
	requests     atomic.Int64
	served       atomic.Int64

	mutex         sync.Mutex
	violationList []string
	// notExecuted holds the requests that were reported as not executed, and atMostOnce those that
	// may run at most once. A request in both must never run.
	notExecuted []string
	atMostOnce  []string
	// chains holds the last turns of the chains of retained turns.
	chains []turnChain
	// incarnations counts stops and starts of each process; a change means that the process was
	// restarted.
	incarnations map[string]int
}

// turnChain is a chain of retained turns: its last turn, and the history that the engine of the
// next turn must receive.
type turnChain struct {
	program   string
	lastTurn  string
	history   string
	turnCount int
}

func (s *soak) addViolation(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violationList = append(s.violationList, fmt.Sprintf(format, values...))
}

// violations returns the violations that were found so far.
func (s *soak) violations() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string(nil), s.violationList...)
}

func (s *soak) recordID(into *[]string, id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	*into = append(*into, id)
}

// sendRequest sends one request to a gateway under a new ID.
func (s *soak) sendRequest(gateway, path, body string, headers map[string]string) (response, string) {
	id := fmt.Sprintf("soak-%d", s.requests.Add(1))
	allHeaders := map[string]string{
		"Host": testHost, "Request-Id": id, "Deadline-Ms": strconv.FormatInt(soakDeadline.Milliseconds(), 10), "Token-Usage": fmt.Sprintf("10,%d", maxTurnTokens),
	}
	for name, value := range headers {
		allHeaders[name] = value
	}
	reply, err := send("POST", "http://"+s.fleet.addresses[gateway]+path, body, allHeaders)
	if err != nil {
		return response{isTruncated: true}, id
	}
	s.checkResponse(reply, id)
	return reply, id
}

// checkResponse checks what holds for every response: a successful one has the engine's
// signature for this request. It records requests that were reported as not executed.
func (s *soak) checkResponse(reply response, id string) {
	switch reply.status {
	case http.StatusOK:
		s.served.Add(1)
		if seal := reply.header.Get("Response-Seal"); seal != "seal-"+id {
			s.addViolation("%s: a successful response has the signature %q", id, seal)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		s.recordID(&s.notExecuted, id)
	}
}

var dataLine = regexp.MustCompile(`(?m)^data: (.*)$`)

// checkEvents returns the number of events of a stream. It checks that they belong to this
// request, in order and without a gap, and that a complete stream has all events.
func (s *soak) checkEvents(reply response, id string) int {
	if reply.status != http.StatusOK {
		return 0
	}
	found := dataLine.FindAllStringSubmatch(reply.body, -1)
	for position, match := range found {
		if expected := fmt.Sprintf("%s/%d", id, position+1); match[1] != expected {
			s.addViolation("%s: event %d is %q", id, position+1, match[1])
		}
	}
	if !reply.isTruncated && len(found) != eventCount {
		s.addViolation("%s: a stream with only %d events ended as complete", id, len(found))
	}
	return len(found)
}

// runProgram runs one program of a random kind.
func (s *soak) runProgram(random *rand.Rand) {
	program := fmt.Sprintf("p%d", s.requests.Add(1))
	switch random.IntN(5) {
	case 0:
		s.runChain(random, program)
	case 1:
		s.spendBudget(random, program)
	case 2:
		reply, id := s.sendRequest(s.pickGateway(random), "/unsafe/", "x", nil)
		s.recordID(&s.atMostOnce, id)
		if expected := "answer to " + id + " x"; reply.status == http.StatusOK && !reply.isTruncated && reply.body != expected {
			s.addViolation("%s: answered %q", id, reply.body)
		}
	case 3:
		reply, id := s.sendRequest(s.pickGateway(random), "/safe/", "y", nil)
		if expected := "answer to " + id + " y"; reply.status == http.StatusOK && !reply.isTruncated && reply.body != expected {
			s.addViolation("%s: answered %q", id, reply.body)
		}
	case 4:
		reply, id := s.sendRequest(s.pickGateway(random), "/resumable/", "z", map[string]string{"Program-Id": program, "Session-Id": "s"})
		s.checkEvents(reply, id)
	}
}

func (s *soak) pickGateway(random *rand.Rand) string {
	return fmt.Sprintf("gateway-%d", random.IntN(soakGateways))
}

// runChain runs a chain of retained turns through random gateways.
func (s *soak) runChain(random *rand.Rand, program string) {
	chain := turnChain{program: program}
	for turn := range 2 + random.IntN(chainLengthCount) {
		if !s.continueChain(random, &chain, fmt.Sprintf("<%s %d>", program, turn)) {
			break
		}
	}
	if chain.lastTurn != "" {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.chains = append(s.chains, chain)
	}
}

// continueChain requests the next turn of a chain; false if it did not complete. It checks that
// a completed turn is never unknown later, and that the engine receives exactly the history of
// the chain.
func (s *soak) continueChain(random *rand.Rand, chain *turnChain, input string) bool {
	headers := map[string]string{"Program-Id": chain.program, "Session-Id": "s"}
	if chain.lastTurn != "" {
		headers["Previous-Turn"] = chain.lastTurn
	}
	reply, id := s.sendRequest(s.pickGateway(random), "/kept/", input, headers)
	s.recordID(&s.atMostOnce, id)
	body, runs := s.runs.bodyAndRuns(id)
	if runs > 0 && body != chain.history+input {
		s.addViolation("%s: the engine received %q after turn %s, expected %q", id, body, chain.lastTurn, chain.history+input)
	}
	s.checkEvents(reply, id)
	if reply.status == http.StatusNotFound && chain.lastTurn != "" {
		s.addViolation("%s: the completed turn %s is unknown", id, chain.lastTurn)
	}
	if reply.status != http.StatusOK || reply.isTruncated {
		return false
	}
	chain.lastTurn, chain.history = id, chain.history+input+streamOutput(id)
	chain.turnCount++
	return true
}

// spendBudget exhausts a token budget and checks that the caller receives at most the budget plus
// one turn.
func (s *soak) spendBudget(random *rand.Rand, program string) {
	headers := map[string]string{"Program-Id": program, "Session-Id": "s", "Token-Budget": strconv.Itoa(soakBudget)}
	deliveredTokens, latest := 0, ""
	for range 8 {
		reply, id := s.sendRequest(s.pickGateway(random), "/stream/", "w", headers)
		s.recordID(&s.atMostOnce, id)
		deliveredTokens += s.checkEvents(reply, id) * eventTokens
		latest = id
		if reply.status == http.StatusPaymentRequired {
			if _, runs := s.runs.bodyAndRuns(id); runs > 0 {
				s.addViolation("%s: rejected for its budget, but executed", id)
			}
			break
		}
	}
	if deliveredTokens > soakBudget+maxTurnTokens {
		s.addViolation("%s: %d tokens delivered from a budget of %d", latest, deliveredTokens, soakBudget)
	}
}

// checkRuns checks the number of executions of all requests, once no request is running.
func (s *soak) checkRuns() {
	s.mutex.Lock()
	notExecuted, atMostOnce := s.notExecuted, s.atMostOnce
	s.mutex.Unlock()
	isAtMostOnce := map[string]bool{}
	for _, id := range atMostOnce {
		isAtMostOnce[id] = true
		if _, runs := s.runs.bodyAndRuns(id); runs > 1 {
			s.addViolation("%s: executed %d times", id, runs)
		}
	}
	for _, id := range notExecuted {
		if _, runs := s.runs.bodyAndRuns(id); runs > 0 && isAtMostOnce[id] {
			s.addViolation("%s: reported as not executed, but executed", id)
		}
	}
}

// soakConfiguration returns a configuration with a marker route whose path contains the
// generation.
func soakConfiguration(generation int64) string {
	text := configuration(int(generation))
	marker := fmt.Sprintf(`{"name":"marker","host":%q,"pathPrefix":"/generation/%d/","kind":"safe","timeoutMs":30000,"backend":"b","maxAttempts":2},`, testHost, generation)
	resumable := fmt.Sprintf(`{"name":"resumable","host":%q,"pathPrefix":"/resumable/","kind":"stream","timeoutMs":30000,"backend":"b","maxAttempts":3,"resumable":true},`, testHost)
	text = strings.Replace(text, `"routes":[`, `"routes":[`+marker+resumable, 1)
	return strings.Replace(text, `"retentionS":60`, `"retentionS":7200`, 1)
}

var generationField = regexp.MustCompile(`"generation":(\d+)`)

// replaceConfigurations sends one configuration after the other, each to random control processes
// until it is acknowledged. In between it reads configurations back and checks that none is older
// than the last acknowledged one. It returns when stop is closed.
func (s *soak) replaceConfigurations(random *rand.Rand, stop <-chan struct{}) {
	for generation := int64(1); ; generation++ {
		for !s.replaceConfiguration(random, generation) {
			if !pause(stop, 50*time.Millisecond) {
				return
			}
		}
		s.acknowledged.Store(generation)
		for range 3 {
			s.readBack(random)
			if !pause(stop, time.Duration(random.IntN(150))*time.Millisecond) {
				return
			}
		}
	}
}

func (s *soak) pickControl(random *rand.Rand) string {
	return s.fleet.operators[random.IntN(len(s.fleet.operators))]
}

func (s *soak) replaceConfiguration(random *rand.Rand, generation int64) bool {
	reply, err := send("POST", "http://"+s.pickControl(random)+"/ochrebay/Config.Replace", soakConfiguration(generation), nil)
	if err == nil && reply.status >= 400 && reply.status < 500 && reply.status != 408 && reply.status != 429 {
		s.addViolation("generation %d was rejected with status %d: %s", generation, reply.status, reply.body)
	}
	return err == nil && reply.status == http.StatusOK
}

func (s *soak) readBack(random *rand.Rand) {
	minGeneration := s.acknowledged.Load()
	reply, err := send("GET", "http://"+s.pickControl(random)+"/ochrebay/Config.Read", "", nil)
	if err != nil || reply.status != http.StatusOK || reply.isTruncated {
		return
	}
	match := generationField.FindStringSubmatch(reply.body)
	if match == nil {
		s.addViolation("a configuration without a generation was read: %s", reply.body)
		return
	}
	if got, _ := strconv.ParseInt(match[1], 10, 64); got < minGeneration || reply.body != soakConfiguration(got) {
		s.addViolation("generation %d was read, or read altered, after generation %d was acknowledged", got, minGeneration)
	}
}

// pause waits for the duration; false if stop is closed first.
func pause(stop <-chan struct{}, duration time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// watchGateway requests marker routes from one gateway and checks that, within one incarnation of
// its process, it does not serve a generation after it has served the next one.
func (s *soak) watchGateway(name string, stop <-chan struct{}) {
	newest, incarnation := int64(0), s.incarnation(name)
	for pause(stop, 60*time.Millisecond) {
		if current := s.incarnation(name); current != incarnation {
			newest, incarnation = 0, current
		}
		generation := s.acknowledged.Load()
		if older := newest - 1; older > 0 {
			reply, _ := s.sendRequest(name, fmt.Sprintf("/generation/%d/", older), "", nil)
			if reply.status == http.StatusOK && s.incarnation(name) == incarnation {
				s.addViolation("%s served generation %d after generation %d", name, older, newest)
			}
		}
		reply, _ := s.sendRequest(name, fmt.Sprintf("/generation/%d/", generation), "", nil)
		if reply.status == http.StatusOK && s.incarnation(name) == incarnation {
			newest = max(newest, generation)
		}
	}
}

func (s *soak) incarnation(gateway string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.incarnations[gateway]
}
