// Package stand runs one case of the review: it starts the project's own processes on loopback
// addresses, plays clients, engines and platform, and judges what these have seen. It holds test files
// only, which may use the platform's names, and is built with "go test -c" (review/build.sh).
package stand

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	host = "h.example"

	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes record.txt: what was sent, answered and run, and the verdict.
type record struct {
	mutex   sync.Mutex
	started time.Time
	file    *os.File
	writer  *bufio.Writer
	onEnd   func()
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	return &record{started: time.Now(), file: file, writer: bufio.NewWriter(file)}
}

// logf writes a line with the time since the start in seconds.
func (r *record) logf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// end writes the verdict, ends all processes and exits.
func (r *record) end(code int, format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.logf("%s", text)
	if r.onEnd != nil {
		r.onEnd()
	}
	_ = r.writer.Flush()
	_ = r.file.Close()
	fmt.Println(text)
	os.Exit(code)
}

func (r *record) cannotRun(format string, arguments ...any) {
	r.end(exitNotRun, "not run: "+format, arguments...)
}

// TestMain runs the case that the arguments name in place of tests.
func TestMain(*testing.M) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*record, *fleet, bool){"transfer": runTransfer, "refusal": runRefusal, "succession": runSuccession, "orphans": runOrphans, "stop": runStop, "shrink": runShrink, "stray": runStray}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	record := newRecord(os.Args[3])
	fleet := newFleet(record, os.Args[2])
	record.onEnd = fleet.stop
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		record.cannotRun("interrupted")
	}()
	// The processes of the case never outlive it by long.
	time.AfterFunc(118*time.Second, func() { record.cannotRun("not over after 118 s") })
	run(record, fleet, os.Getenv("TROUBLE") != "0")
	record.end(exitHeld, "held")
}
