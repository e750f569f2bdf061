package program

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/result"
)

const testStreamRetentionMs = 3000

// begin records the origin of a stream of program p and session s.
func begin(turns *TurnLedger, nowMs int64, request, version string, attempt int) *StreamOrigin {
	reply, _ := turns.Apply(TurnCommand{NowMs: nowMs, Stream: &OpenStream{
		Program: "p", Request: request, Session: "s",
		Opening: StreamOpening{Origin: &StreamOrigin{Backend: "b", SoftwareVersion: version}, Attempt: attempt, RetentionMs: testStreamRetentionMs},
	}})
	So(reply.Error, ShouldBeNil)
	return reply.Stream
}

// takeUp finds the origin of a stream of program p and session s; an empty request names none.
func takeUp(turns *TurnLedger, nowMs int64, request string) TurnReply {
	reply, _ := turns.Apply(TurnCommand{NowMs: nowMs, Stream: &OpenStream{
		Program: "p", Request: "later", Session: "s", Opening: StreamOpening{TakesUp: request, RetentionMs: testStreamRetentionMs},
	}})
	return reply
}

func versionOf(version string) *StreamOrigin {
	return &StreamOrigin{Backend: "b", SoftwareVersion: version}
}

// TestStreamOrigins guards against a ledger that sends a stream to engines of a software version
// that did not begin it, or that keeps records of streams that nobody can take up any more.
func TestStreamOrigins(t *testing.T) {
	Convey("the origin of a stream", t, func() {
		turns := NewTurnLedger()
		Convey("is found by the request that began it, and by no other", func() {
			So(begin(turns, 1000, "a", "v1", 0), ShouldResemble, versionOf("v1"))
			So(begin(turns, 1000, "c", "v2", 0), ShouldResemble, versionOf("v2"))
			So(takeUp(turns, 1000, "a").Stream, ShouldResemble, versionOf("v1"))
			So(takeUp(turns, 1000, "c").Stream, ShouldResemble, versionOf("v2"))
			So(takeUp(turns, 1000, "later").Error.Code, ShouldEqual, result.StreamUnknown)
		})
		Convey("is that of the latest attempt, whichever message arrives last", func() {
			begin(turns, 1000, "a", "v1", 0)
			So(begin(turns, 1000, "a", "v3", 2), ShouldResemble, versionOf("v3"))
			So(begin(turns, 1000, "a", "v2", 1), ShouldResemble, versionOf("v3"))
			So(begin(turns, 1000, "a", "v1", 0), ShouldResemble, versionOf("v3"))
			So(takeUp(turns, 1000, "a").Stream, ShouldResemble, versionOf("v3"))
		})
		Convey("is found without a name while all streams of the session have the same one", func() {
			So(takeUp(turns, 1000, "").Error.Code, ShouldEqual, result.StreamUnknown)
			begin(turns, 1000, "a", "v1", 0)
			begin(turns, 1000, "c", "v1", 0)
			So(takeUp(turns, 1000, "").Stream, ShouldResemble, versionOf("v1"))
			begin(turns, 1000, "d", "v2", 0)
			So(takeUp(turns, 1000, "").Error.Code, ShouldEqual, result.StreamUnknown)
		})
		Convey("is retained from the last take-up on, and deleted when no caller can come back", func() {
			begin(turns, 1000, "a", "v1", 0)
			begin(turns, 1000, "never", "v1", 0)
			const lastMs = 1000 + testStreamRetentionMs + streamRetentionMarginMs
			So(takeUp(turns, lastMs, "a").Error, ShouldBeNil)
			turns.Apply(TurnCommand{NowMs: lastMs + 1, Sweep: true})
			So(turns.StreamCount(), ShouldEqual, 1)
			So(takeUp(turns, lastMs+1, "never").Error.Code, ShouldEqual, result.StreamUnknown)
			const renewedMs = lastMs + testStreamRetentionMs + streamRetentionMarginMs
			So(turns.IsSweepDue(renewedMs+1), ShouldBeFalse)
			So(turns.IsSweepDue(renewedMs+streamSweepDelayMs+1), ShouldBeTrue)
			turns.Apply(TurnCommand{NowMs: renewedMs + 1, Sweep: true})
			So(turns.StreamCount(), ShouldEqual, 0)
			So(turns.streams.byProgram, ShouldBeEmpty)
		})
		Convey("is retained only shortly once the whole stream was sent", func() {
			turns.Apply(TurnCommand{NowMs: 1000, Stream: &OpenStream{
				Program: "p", Request: "a", Opening: StreamOpening{Origin: versionOf("v1"), RetentionMs: 600_000},
			}})
			turns.Apply(TurnCommand{NowMs: 2000, Settle: &Settle{Program: "p", Request: "a", EndedStream: "a"}})
			turns.Apply(TurnCommand{NowMs: 2000 + endedStreamRetentionMs, Sweep: true})
			So(turns.StreamCount(), ShouldEqual, 1)
			turns.Apply(TurnCommand{NowMs: 2001 + endedStreamRetentionMs, Sweep: true})
			So(turns.StreamCount(), ShouldEqual, 0)
		})
		Convey("is recorded with a turn that is granted, and not with one that is denied", func() {
			reserve := func(request string, stream *StreamOpening) TurnReply {
				reply, _ := turns.Apply(TurnCommand{NowMs: 1000, Reserve: &Reserve{Program: "p", Request: request, Session: "s", BudgetTokens: 100, MaxTokens: 60, Stream: stream}})
				return reply
			}
			So(reserve("a", &StreamOpening{Origin: versionOf("v1")}).Stream, ShouldResemble, versionOf("v1"))
			denied := reserve("denied", &StreamOpening{Origin: versionOf("v1")})
			So(denied.Error.Code, ShouldEqual, result.BudgetExhausted)
			So(denied.Stream, ShouldBeNil)
			So(turns.StreamCount(), ShouldEqual, 1)
			So(takeUp(turns, 1000, "denied").Error.Code, ShouldEqual, result.StreamUnknown)
		})
		Convey("has to be known for the turn of a take-up to be granted", func() {
			reply, _ := turns.Apply(TurnCommand{NowMs: 1000, Reserve: &Reserve{Program: "p", Request: "later", BudgetTokens: 100, MaxTokens: 60, Stream: &StreamOpening{TakesUp: "a"}}})
			So(reply.Error.Code, ShouldEqual, result.StreamUnknown)
			spent, reserved := turns.TokenUse("p")
			So(spent+reserved, ShouldEqual, 0)
		})
		Convey("takes a bounded part of the memory, whatever one program begins", func() {
			for number := range 3 * maxStreamsPerProgram {
				begin(turns, 1000, fmt.Sprint(number), "v1", 0)
			}
			So(turns.StreamCount(), ShouldEqual, maxStreamsPerProgram)
			So(takeUp(turns, 1000, "0").Error.Code, ShouldEqual, result.StreamUnknown)
			So(takeUp(turns, 1000, fmt.Sprint(3*maxStreamsPerProgram-1)).Stream, ShouldResemble, versionOf("v1"))
			So(takeUp(turns, 1000, "").Error.Code, ShouldEqual, result.StreamUnknown)
		})
		Convey("is part of a snapshot, and absent from that of a release without streams", func() {
			begin(turns, 1000, "a", "v1", 3)
			snapshot, err := turns.Snapshot()
			So(err, ShouldBeNil)
			restored := NewTurnLedger()
			So(restored.Restore(snapshot), ShouldBeNil)
			So(restored.StreamCount(), ShouldEqual, 1)
			So(begin(restored, 1000, "a", "v2", 2), ShouldResemble, versionOf("v1"))
			empty, err := NewTurnLedger().Snapshot()
			So(err, ShouldBeNil)
			So(restored.Restore(empty), ShouldBeNil)
			So(takeUp(restored, 1000, "a").Error.Code, ShouldEqual, result.StreamUnknown)
		})
	})
}

// TestStreamOriginsProperty guards against a take-up at another origin than the recorded one with
// the highest attempt, in any order of records, take-ups, ends, sweeps and restored snapshots, and
// against a count that differs from the records.
func TestStreamOriginsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turns := NewTurnLedger()
		type begun struct {
			version string
			attempt int
		}
		latest := map[string]begun{}
		nowMs := int64(1000)
		requests := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			nowMs += rapid.Int64Range(0, 2000).Draw(t, "pause")
			request := requests.Draw(t, "request")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
				attempt := rapid.IntRange(0, 3).Draw(t, "attempt")
				previous, isKnown := latest[request]
				_, isRecorded := turns.streams.byProgram["p"]
				isRecorded = isRecorded && turns.streams.byProgram["p"].find(request) != nil
				if !isKnown || !isRecorded || attempt > previous.attempt {
					latest[request] = begun{version, attempt}
				}
				reply, _ := turns.Apply(TurnCommand{NowMs: nowMs, Stream: &OpenStream{Program: "p", Request: request, Session: "s", Opening: StreamOpening{Origin: versionOf(version), Attempt: attempt, RetentionMs: testStreamRetentionMs}}})
				if reply.Stream.SoftwareVersion != latest[request].version {
					t.Fatalf("the record of %s is %v, the latest attempt began at %v", request, reply.Stream, latest[request])
				}
			case 1:
				reply, _ := turns.Apply(TurnCommand{NowMs: nowMs, Stream: &OpenStream{Program: "p", Request: "x", Session: "s", Opening: StreamOpening{TakesUp: request, RetentionMs: testStreamRetentionMs}}})
				if reply.Error == nil && reply.Stream.SoftwareVersion != latest[request].version {
					t.Fatalf("%s is taken up at %v, but began at %v", request, reply.Stream, latest[request])
				}
			case 2:
				turns.Apply(TurnCommand{NowMs: nowMs, Settle: &Settle{Program: "p", Request: request, EndedStream: request}})
			case 3:
				turns.Apply(TurnCommand{NowMs: nowMs, Sweep: true})
			case 4:
				snapshot, err := turns.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				restored := NewTurnLedger()
				if err := restored.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
				again, err := restored.Snapshot()
				if err != nil || !bytes.Equal(snapshot, again) {
					t.Fatalf("a restored ledger has another snapshot (%v)", err)
				}
				turns = restored
			}
			records := 0
			for _, streams := range turns.streams.byProgram {
				records += len(streams.Records)
			}
			if records != turns.StreamCount() {
				t.Fatalf("%d records are counted as %d", records, turns.StreamCount())
			}
		}
	})
}

// BenchmarkStreamOrigins shows what the record of one stream costs, with ids and versions of the
// platform's length: heap of a replica, bytes of a snapshot, and bytes that it adds to the log entry of
// a turn.
func BenchmarkStreamOrigins(b *testing.B) {
	reserve := func(number int) *Reserve {
		return &Reserve{
			Program: fmt.Sprintf("%014x", number), Request: fmt.Sprintf("%016x", number), Session: fmt.Sprintf("%06x", number), BudgetTokens: 4600, MaxTokens: 575,
			Stream: &StreamOpening{Origin: &StreamOrigin{Backend: "cuba4a", SoftwareVersion: "v1.2"}, RetentionMs: testStreamRetentionMs},
		}
	}
	encodedBytes := func(value any) float64 {
		encoded, err := msgpack.Marshal(value)
		if err != nil {
			b.Fatal(err)
		}
		return float64(len(encoded))
	}
	heapBytes := func() float64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	streams := newStreamLedger(nil)
	before := heapBytes()
	for number := range b.N {
		command := reserve(number)
		streams.record(1000, OpenStream{Program: command.Program, Request: command.Request, Session: command.Session, Opening: *command.Stream})
	}
	b.ReportMetric((heapBytes()-before)/float64(b.N), "heap-B/stream")
	b.ReportMetric(encodedBytes(streams.sorted())/float64(b.N), "snapshot-B/stream")
	without := reserve(1)
	without.Stream = nil
	b.ReportMetric(encodedBytes(reserve(1))-encodedBytes(without), "entry-B/stream")
}
