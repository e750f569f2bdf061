// Package logreport turns the lines that gateways write at the end of each request into
// figures over time: how many were served and how the others ended, and how long they
// took. It knows the lines' keys (docs/LOGS.md) and nothing of files or plots.
package logreport

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// The messages of a gateway that end a request.
const (
	messageServed = "served"
	messageFailed = "failed"
	// Served is the outcome of a request that an engine answered.
	Served = "served"
)

// Request is one request as its last line tells it.
type Request struct {
	At       time.Time
	Route    string
	Duration time.Duration
	// Outcome is Served, or what the line of a failure says: not_run, ran, unknown.
	Outcome string
	// Code is the result code of a failure, 0 for none.
	Code int
}

// Report gathers requests.
type Report struct {
	requests []Request
	// Dropped counts the lines that the processes say they could not write.
	Dropped int
}

// AddLine takes one line by its keys; lines that end no request are passed over.
func (r *Report) AddLine(keys map[string]string) {
	switch keys["msg"] {
	case "log lines dropped":
		count, _ := strconv.Atoi(keys["count"])
		r.Dropped += count
		return
	case messageServed, messageFailed:
	default:
		return
	}
	at, err := time.Parse(time.RFC3339Nano, keys["ts"])
	if err != nil {
		return
	}
	request := Request{At: at, Route: keys["route"], Outcome: Served}
	request.Duration, _ = time.ParseDuration(keys["took"])
	if keys["msg"] == messageFailed {
		request.Outcome = keys["outcome"]
		request.Code, _ = strconv.Atoi(keys["code"])
	}
	r.requests = append(r.requests, request)
}

// Len returns how many requests were gathered.
func (r *Report) Len() int { return len(r.requests) }

// SecondStats is one second of the report.
type SecondStats struct {
	// Offset counts from the first request's second.
	Offset int
	// Outcomes counts the requests that ended in this second by outcome.
	Outcomes map[string]int
	// P50 and Late are the 50th and 99th percentile of the served requests' times,
	// zero where none was served.
	P50 time.Duration
	P99 time.Duration
}

// Seconds returns every second from the first request to the last.
func (r *Report) Seconds() []SecondStats {
	if len(r.requests) == 0 {
		return nil
	}
	first := slices.MinFunc(r.requests, func(a, b Request) int { return a.At.Compare(b.At) }).At.Truncate(time.Second)
	last := slices.MaxFunc(r.requests, func(a, b Request) int { return a.At.Compare(b.At) }).At
	seconds := make([]SecondStats, int(last.Sub(first).Seconds())+1)
	times := make([][]time.Duration, len(seconds))
	for position := range seconds {
		seconds[position] = SecondStats{Offset: position, Outcomes: map[string]int{}}
	}
	for _, request := range r.requests {
		position := int(request.At.Sub(first).Seconds())
		seconds[position].Outcomes[request.Outcome]++
		if request.Outcome == Served {
			times[position] = append(times[position], request.Duration)
		}
	}
	for position := range seconds {
		seconds[position].P50 = percentile(times[position], 50)
		seconds[position].P99 = percentile(times[position], 99)
	}
	return seconds
}

// Row is a group of requests: a route, or a way to fail.
type Row struct {
	Name   string
	Count  int
	Served int
	P50    time.Duration
	P99    time.Duration
}

// Routes returns a row for each route, the busiest first.
func (r *Report) Routes() []Row {
	return r.rows(func(request Request) (string, bool) { return request.Route, true })
}

// Failures returns a row for each result code, the most frequent first.
func (r *Report) Failures() []Row {
	return r.rows(func(request Request) (string, bool) {
		return strconv.Itoa(request.Code) + " " + request.Outcome, request.Outcome != Served
	})
}

// rows groups requests by the name that of gives those which it takes.
func (r *Report) rows(of func(request Request) (name string, taken bool)) []Row {
	rows := map[string]*Row{}
	times := map[string][]time.Duration{}
	for _, request := range r.requests {
		name, taken := of(request)
		if !taken {
			continue
		}
		if rows[name] == nil {
			rows[name] = &Row{Name: name}
		}
		rows[name].Count++
		if request.Outcome == Served {
			rows[name].Served++
		}
		times[name] = append(times[name], request.Duration)
	}
	sorted := make([]Row, 0, len(rows))
	for name, row := range rows {
		row.P50, row.P99 = percentile(times[name], 50), percentile(times[name], 99)
		sorted = append(sorted, *row)
	}
	slices.SortFunc(sorted, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

// percentile returns the nearest-rank percentile, zero of nothing.
func percentile(times []time.Duration, percent int) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	rank := (len(sorted)*percent + 99) / 100
	return sorted[max(rank, 1)-1]
}
