package stand

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests to the gateways that the directory names.
type clients struct {
	fleet     *fleet
	transport *http.Transport
	gateways  atomic.Pointer[[]string]
}

func newClients(fleet *fleet) *clients {
	c := &clients{fleet: fleet, transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
	c.lookUp()
	go func() {
		for range time.Tick(time.Second) {
			c.lookUp()
		}
	}()
	return c
}

func (c *clients) lookUp() {
	if addresses := c.fleet.resolve(); len(addresses) > 0 {
		c.gateways.Store(&addresses)
	}
}

// reply is what a client got: status 0 is no answer, and whole says that its body came to its end.
type reply struct {
	id      string
	gateway string
	status  int
	header  http.Header
	body    string
	whole   bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one client attempt to a gateway chosen by chance, except for those to avoid.
func (c *clients) send(method, path, body string, headers map[string]string, avoid ...string) reply {
	var choices []string
	for _, address := range *c.gateways.Load() {
		if !strings.Contains(strings.Join(avoid, " "), address) {
			choices = append(choices, address)
		}
	}
	if len(choices) == 0 {
		choices = *c.gateways.Load()
	}
	got := reply{id: newID(), gateway: choices[rand.IntN(len(choices))]}
	request, err := http.NewRequest(method, "http://"+got.gateway+path, strings.NewReader(body))
	if err != nil {
		return got
	}
	request.Host = host
	request.Header.Set("Request-Id", got.id)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	client := http.Client{Transport: c.transport, Timeout: 10 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		c.fleet.record.logf("sent %s %s %s to %s: no answer", method, path, got.id, got.gateway)
		return got
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	got.status, got.header, got.body, got.whole = response.StatusCode, response.Header, string(raw), err == nil
	c.fleet.record.logf("sent %s %s %s to %s: answered %d, whole %t", method, path, got.id, got.gateway, got.status, got.whole)
	return got
}

// pool runs jobs on a number of goroutines, at most perSecond jobs a second, until the end time or
// until there are no more.
func pool(workers int, perSecond float64, until time.Time, job func(number int) bool) {
	var group sync.WaitGroup
	var next atomic.Int64
	started := time.Now()
	for range workers {
		group.Add(1)
		go func() {
			defer group.Done()
			for {
				number := int(next.Add(1) - 1)
				due := started.Add(time.Duration(float64(number) / perSecond * float64(time.Second)))
				time.Sleep(min(time.Until(due), time.Until(until)))
				if !time.Now().Before(until) || !job(number) {
					return
				}
			}
		}()
	}
	group.Wait()
}
