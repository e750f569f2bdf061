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
	soakDeadline  = 3 * time.Second
	longestChain  = 10
	soakBudget    = 170
	soakMostATurn = eventCount * eventTokens
)

// soak is what the callers of a soak have seen, and the rules that were broken.
type soak struct {
	fleet *platformFleet
	runs  *soakRuns
	// acknowledged is the newest generation that the operator was told is taken.
	acknowledged atomic.Int64
	requests     atomic.Int64
	served       atomic.Int64

	mutex  sync.Mutex
	broken []string
	// promised are the requests that were said not to have run and will never run, once
	// those that may run once at most.
	promised []string
	once     []string
	// lines are the ends of chains of kept turns.
	lines []soakLine
	// lives counts the starts of each gateway, newest what each life has shown.
	lives map[string]int
}

// soakLine is a line of kept turns: its last turn and what an engine must be sent of it.
type soakLine struct {
	program string
	last    string
	content string
	turns   int
}

func (s *soak) violate(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, values...))
}

// violations returns what was broken so far.
func (s *soak) violations() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string(nil), s.broken...)
}

func (s *soak) note(into *[]string, id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	*into = append(*into, id)
}

// ask sends one request to a gateway under an id of its own.
func (s *soak) ask(gateway, path, body string, headers map[string]string) (response, string) {
	id := fmt.Sprintf("soak-%d", s.requests.Add(1))
	all := map[string]string{
		"Host": standHost, "Request-Id": id, "Deadline-Ms": strconv.FormatInt(soakDeadline.Milliseconds(), 10), "Token-Usage": fmt.Sprintf("10,%d", soakMostATurn),
	}
	for name, value := range headers {
		all[name] = value
	}
	answer, err := send("POST", "http://"+s.fleet.addresses[gateway]+path, body, all)
	if err != nil {
		return response{broken: true}, id
	}
	s.checkAnswer(answer, id)
	return answer, id
}

// checkAnswer holds what is true of every answer: a success is the engine's and this
// request's, and a promise is kept.
func (s *soak) checkAnswer(answer response, id string) {
	switch answer.status {
	case http.StatusOK:
		s.served.Add(1)
		if seal := answer.header.Get("Response-Seal"); seal != "seal-"+id {
			s.violate("%s: a success with the signature %q", id, seal)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		s.note(&s.promised, id)
	}
}

var dataLine = regexp.MustCompile(`(?m)^data: (.*)$`)

// events returns the data of the whole events of a stream, and holds that they are this
// request's, in order and without a gap, and that a whole stream has them all.
func (s *soak) events(answer response, id string) int {
	if answer.status != http.StatusOK {
		return 0
	}
	found := dataLine.FindAllStringSubmatch(answer.body, -1)
	for position, match := range found {
		if expected := fmt.Sprintf("%s/%d", id, position+1); match[1] != expected {
			s.violate("%s: event %d is %q", id, position+1, match[1])
		}
	}
	if !answer.broken && len(found) != eventCount {
		s.violate("%s: a stream of %d events looks whole", id, len(found))
	}
	return len(found)
}

// call drives one program of a kind chosen at random.
func (s *soak) call(random *rand.Rand) {
	program := fmt.Sprintf("p%d", s.requests.Add(1))
	switch random.IntN(5) {
	case 0:
		s.chain(random, program)
	case 1:
		s.spend(random, program)
	case 2:
		answer, id := s.ask(s.gateway(random), "/unsafe/", "x", nil)
		s.note(&s.once, id)
		if expected := "answer to " + id + " x"; answer.status == http.StatusOK && !answer.broken && answer.body != expected {
			s.violate("%s: answered %q", id, answer.body)
		}
	case 3:
		answer, id := s.ask(s.gateway(random), "/safe/", "y", nil)
		if expected := "answer to " + id + " y"; answer.status == http.StatusOK && !answer.broken && answer.body != expected {
			s.violate("%s: answered %q", id, answer.body)
		}
	case 4:
		answer, id := s.ask(s.gateway(random), "/resumable/", "z", map[string]string{"Program-Id": program, "Session-Id": "s"})
		s.events(answer, id)
	}
}

func (s *soak) gateway(random *rand.Rand) string {
	return fmt.Sprintf("gateway-%d", random.IntN(soakGateways))
}

// chain drives a line of kept turns through any gateways.
func (s *soak) chain(random *rand.Rand, program string) {
	line := soakLine{program: program}
	for turn := range 2 + random.IntN(longestChain) {
		if !s.goOn(random, &line, fmt.Sprintf("<%s %d>", program, turn)) {
			break
		}
	}
	if line.last != "" {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.lines = append(s.lines, line)
	}
}

// goOn asks for the next turn of a line; false where it did not end whole. Invariant held
// here: a turn that was answered whole is never unknown later, and the engine gets exactly
// what was said before.
func (s *soak) goOn(random *rand.Rand, line *soakLine, input string) bool {
	headers := map[string]string{"Program-Id": line.program, "Session-Id": "s"}
	if line.last != "" {
		headers["Previous-Turn"] = line.last
	}
	answer, id := s.ask(s.gateway(random), "/kept/", input, headers)
	s.note(&s.once, id)
	body, runs := s.runs.of(id)
	if runs > 0 && body != line.content+input {
		s.violate("%s: the engine was sent %q after turn %s, not %q", id, body, line.last, line.content+input)
	}
	s.events(answer, id)
	if answer.status == http.StatusNotFound && line.last != "" {
		s.violate("%s: turn %s, answered whole, is unknown", id, line.last)
	}
	if answer.status != http.StatusOK || answer.broken {
		return false
	}
	line.last, line.content = id, line.content+input+output(id)
	line.turns++
	return true
}

// spend uses a budget up and holds that callers are handed no more than it and one turn.
func (s *soak) spend(random *rand.Rand, program string) {
	headers := map[string]string{"Program-Id": program, "Session-Id": "s", "Token-Budget": strconv.Itoa(soakBudget)}
	handed, latest := 0, ""
	for range 8 {
		answer, id := s.ask(s.gateway(random), "/stream/", "w", headers)
		s.note(&s.once, id)
		handed += s.events(answer, id) * eventTokens
		latest = id
		if answer.status == http.StatusPaymentRequired {
			if _, runs := s.runs.of(id); runs > 0 {
				s.violate("%s: refused for its budget and run", id)
			}
			break
		}
	}
	if handed > soakBudget+soakMostATurn {
		s.violate("%s: %d tokens handed out of a budget of %d", latest, handed, soakBudget)
	}
}

// checkRuns holds what can only be known once nothing runs any more.
func (s *soak) checkRuns() {
	s.mutex.Lock()
	promised, once := s.promised, s.once
	s.mutex.Unlock()
	repeated := map[string]bool{}
	for _, id := range once {
		repeated[id] = true
		if _, runs := s.runs.of(id); runs > 1 {
			s.violate("%s: run %d times", id, runs)
		}
	}
	for _, id := range promised {
		if _, runs := s.runs.of(id); runs > 0 && repeated[id] {
			s.violate("%s: said not to have run, and ran", id)
		}
	}
}

// soakConfiguration is a whole configuration whose one marker route names its generation.
func soakConfiguration(generation int64) string {
	text := configuration(int(generation))
	marker := fmt.Sprintf(`{"name":"marker","host":%q,"pathPrefix":"/generation/%d/","kind":"safe","timeoutMs":30000,"backend":"b","maxAttempts":2},`, standHost, generation)
	resumable := fmt.Sprintf(`{"name":"resumable","host":%q,"pathPrefix":"/resumable/","kind":"stream","timeoutMs":30000,"backend":"b","maxAttempts":3,"resumable":true},`, standHost)
	text = strings.Replace(text, `"routes":[`, `"routes":[`+marker+resumable, 1)
	return strings.Replace(text, `"retentionS":60`, `"retentionS":7200`, 1)
}

var generationField = regexp.MustCompile(`"generation":(\d+)`)

// operate sends one configuration after the other, each to any control process until it
// is acknowledged, and reads back in between: what was acknowledged is never shown in an
// older state. It ends with the channel.
func (s *soak) operate(random *rand.Rand, stop <-chan struct{}) {
	for generation := int64(1); ; generation++ {
		for !s.replace(random, generation) {
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

func (s *soak) control(random *rand.Rand) string {
	return s.fleet.operators[random.IntN(len(s.fleet.operators))]
}

func (s *soak) replace(random *rand.Rand, generation int64) bool {
	answer, err := send("POST", "http://"+s.control(random)+"/ochrebay/Config.Replace", soakConfiguration(generation), nil)
	if err == nil && answer.status >= 400 && answer.status < 500 && answer.status != 408 && answer.status != 429 {
		s.violate("generation %d was refused with %d: %s", generation, answer.status, answer.body)
	}
	return err == nil && answer.status == http.StatusOK
}

func (s *soak) readBack(random *rand.Rand) {
	least := s.acknowledged.Load()
	answer, err := send("GET", "http://"+s.control(random)+"/ochrebay/Config.Read", "", nil)
	if err != nil || answer.status != http.StatusOK || answer.broken {
		return
	}
	match := generationField.FindStringSubmatch(answer.body)
	if match == nil {
		s.violate("a configuration without a generation was read: %s", answer.body)
		return
	}
	if got, _ := strconv.ParseInt(match[1], 10, 64); got < least || answer.body != soakConfiguration(got) {
		s.violate("generation %d was read after %d was acknowledged", got, least)
	}
}

// pause waits; false where the channel ended meanwhile.
func pause(stop <-chan struct{}, duration time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// watchGateway asks one gateway for markers: within one life of its process, a marker
// older than one that it has served is never served again.
func (s *soak) watchGateway(name string, stop <-chan struct{}) {
	newest, life := int64(0), s.life(name)
	for pause(stop, 60*time.Millisecond) {
		if current := s.life(name); current != life {
			newest, life = 0, current
		}
		generation := s.acknowledged.Load()
		if older := newest - 1; older > 0 {
			answer, _ := s.ask(name, fmt.Sprintf("/generation/%d/", older), "", nil)
			if answer.status == http.StatusOK && s.life(name) == life {
				s.violate("%s served generation %d after %d", name, older, newest)
			}
		}
		answer, _ := s.ask(name, fmt.Sprintf("/generation/%d/", generation), "", nil)
		if answer.status == http.StatusOK && s.life(name) == life {
			newest = max(newest, generation)
		}
	}
}

func (s *soak) life(gateway string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lives[gateway]
}
