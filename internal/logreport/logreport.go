// Package logreport aggregates the log lines that gateways write at the end of each request: the
// numbers of served requests and of failures by outcome, and latency percentiles, over time, by
// route and by result code. docs/LOGS.md documents the keys of the lines.
package logreport

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// The messages that gateways log at the end of a request.
const (
	messageServed = "served"
	messageFailed = "failed"
	// Served is the outcome of a request that an engine completed.
	Served = "served"
)

// Request is a request as described by its last log line.
type Request struct {
	At       time.Time
	Route    string
	Duration time.Duration
	// Outcome is Served, or the outcome of a failure: not_run, ran, unknown.
	Outcome string
	// Code is the result code of a failure, 0 for none.
	Code int
}

// Report collects requests.
type Report struct {
	requests []Request
	// Dropped counts the log lines that the processes reported as dropped.
	Dropped int
}

// AddLine adds a log line, given as its values by key. Lines that don't end a request are ignored,
// except for reports of dropped lines.
func (r *Report) AddLine(fields map[string]string) {
	switch fields["msg"] {
	case "log lines dropped":
		count, _ := strconv.Atoi(fields["count"])
		r.Dropped += count
		return
	case messageServed, messageFailed:
	default:
		return
	}
	at, err := time.Parse(time.RFC3339Nano, fields["ts"])
	if err != nil {
		return
	}
	request := Request{At: at, Route: fields["route"], Outcome: Served}
	request.Duration, _ = time.ParseDuration(fields["took"])
	if fields["msg"] == messageFailed {
		request.Outcome = fields["outcome"]
		request.Code, _ = strconv.Atoi(fields["code"])
	}
	r.requests = append(r.requests, request)
}

// Len returns the number of requests collected.
func (r *Report) Len() int { return len(r.requests) }

// SecondStats are the statistics of one second of the report.
type SecondStats struct {
	// Offset is the number of seconds since the second of the first request.
	Offset int
	// Outcomes counts the requests that ended in this second, by outcome.
	Outcomes map[string]int
	// P50 and P99 are the 50th and 99th percentile of the durations of served requests, zero if
	// none was served.
	P50 time.Duration
	P99 time.Duration
}

// Seconds returns the statistics of every second from the first request to the last.
func (r *Report) Seconds() []SecondStats {
	if len(r.requests) == 0 {
		return nil
	}
	first := slices.MinFunc(r.requests, func(a, b Request) int { return a.At.Compare(b.At) }).At.Truncate(time.Second)
	last := slices.MaxFunc(r.requests, func(a, b Request) int { return a.At.Compare(b.At) }).At
	seconds := make([]SecondStats, int(last.Sub(first).Seconds())+1)
	durations := make([][]time.Duration, len(seconds))
	for position := range seconds {
		seconds[position] = SecondStats{Offset: position, Outcomes: map[string]int{}}
	}
	for _, request := range r.requests {
		position := int(request.At.Sub(first).Seconds())
		seconds[position].Outcomes[request.Outcome]++
		if request.Outcome == Served {
			durations[position] = append(durations[position], request.Duration)
		}
	}
	for position := range seconds {
		seconds[position].P50 = percentile(durations[position], 50)
		seconds[position].P99 = percentile(durations[position], 99)
	}
	return seconds
}

// Row has the statistics of a group of requests: those of a route, or those with the same result
// code and outcome. P50 and P99 are percentiles of all durations in the group.
type Row struct {
	Name   string
	Count  int
	Served int
	P50    time.Duration
	P99    time.Duration
}

// Routes returns a row for each route, the busiest first.
func (r *Report) Routes() []Row {
	return r.groupRows(func(request Request) (string, bool) { return request.Route, true })
}

// Failures returns a row for each result code and outcome, the most frequent first.
func (r *Report) Failures() []Row {
	return r.groupRows(func(request Request) (string, bool) {
		return strconv.Itoa(request.Code) + " " + request.Outcome, request.Outcome != Served
	})
}

// groupRows groups requests by the name that groupName returns; requests that it does not include
// are left out.
func (r *Report) groupRows(groupName func(request Request) (name string, included bool)) []Row {
	rows := map[string]*Row{}
	durations := map[string][]time.Duration{}
	for _, request := range r.requests {
		name, included := groupName(request)
		if !included {
			continue
		}
		if rows[name] == nil {
			rows[name] = &Row{Name: name}
		}
		rows[name].Count++
		if request.Outcome == Served {
			rows[name].Served++
		}
		durations[name] = append(durations[name], request.Duration)
	}
	sorted := make([]Row, 0, len(rows))
	for name, row := range rows {
		row.P50, row.P99 = percentile(durations[name], 50), percentile(durations[name], 99)
		sorted = append(sorted, *row)
	}
	slices.SortFunc(sorted, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

// percentile returns the nearest-rank percentile, zero for an empty slice.
func percentile(durations []time.Duration, percent int) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	rank := (len(sorted)*percent + 99) / 100
	return sorted[max(rank, 1)-1]
}
