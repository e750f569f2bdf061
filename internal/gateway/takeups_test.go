package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/ochrebay/ochrebay/internal/membership"
)

// replaceGateway kills the gateway and starts one that remembers nothing. Its first view has the engines of today
// and the ledger of before.
func (f *streamingFleet) replaceGateway() {
	f.fixture.server.CloseClientConnections()
	f.addGateway(maps.Clone(f.fixture.gateway.view.Load().fleet.Engines))
}

// addGateway makes another gateway the one that is sent to. It knows the given engines, and has the ledger of the one
// before.
func (f *streamingFleet) addGateway(engines map[string]membership.ServingEngine) {
	before := f.fixture
	f.fixture = newGatewayFixture(f.t, func(w http.ResponseWriter, _ *http.Request) { respondNotRun(w) })
	f.fixture.ledger = before.ledger
	view := *f.fixture.gateway.view.Load().fleet
	view.Version++
	view.Groups = before.gateway.view.Load().fleet.Groups
	view.Engines = engines
	f.fixture.gateway.applyUpdate(&view, f.fixture.gateway.view.Load().routes.Table)
}

// versionsIn returns the software versions whose events a body holds.
func versionsIn(body string) []string {
	var versions []string
	for _, version := range []string{"v1", "v2"} {
		if strings.Contains(body, "data: "+version+"/") {
			versions = append(versions, version)
		}
	}
	return versions
}

// TestStreamsTakenUpAfterAllGatewaysWereKilled guards against a stream that is taken up at another software version
// than the one that began it, because the gateways that knew that version were all killed: whichever versions are in
// service then, and whether the caller names the stream or only its session.
func TestStreamsTakenUpAfterAllGatewaysWereKilled(t *testing.T) {
	takenUp := 0
	rapid.Check(t, func(draw *rapid.T) {
		fleet := newStreamingFleet(t)
		fleet.fixture.ledger.recordStreams(answerAll)
		breaksAfter := rapid.IntRange(1, versionedStreamEvents-1)
		for number := range rapid.IntRange(1, 3).Draw(draw, "engines of v1") {
			fleet.addEngine(fmt.Sprint("old-", number), "v1", breaksAfter.Draw(draw, "breaks after"))
		}
		for number := range rapid.IntRange(0, 3).Draw(draw, "engines of v2") {
			fleet.addEngine(fmt.Sprint("new-", number), "v2", breaksAfter.Draw(draw, "breaks after"))
		}
		type stream struct {
			id, session, program string
			body                 string
		}
		var streams []stream
		for number := range rapid.IntRange(1, 4).Draw(draw, "streams") {
			begun := stream{
				id: fmt.Sprint("r", number), session: rapid.SampledFrom([]string{"s1", "s2"}).Draw(draw, "session"), program: fmt.Sprint("p", number),
			}
			if rapid.Bool().Draw(draw, "has no program") {
				begun.program = ""
			}
			_, begun.body, _ = fleet.fixture.send("/resumable/", begun.id, "Ochrebay-Program", begun.program, "Ochrebay-Session", begun.session)
			if len(versionsIn(begun.body)) > 1 {
				draw.Fatalf("stream %s is joined from %v", begun.id, versionsIn(begun.body))
			}
			streams = append(streams, begun)
		}
		if rapid.Bool().Draw(draw, "engines of v1 leave") {
			fleet.update(func(engines map[string]membership.ServingEngine) {
				maps.DeleteFunc(engines, func(_ string, engine membership.ServingEngine) bool { return engine.SoftwareVersion == "v1" })
			})
		}
		fleet.addEngine("whole-new", "v2", 0)
		if rapid.Bool().Draw(draw, "a whole engine of v1") {
			fleet.addEngine("whole-old", "v1", 0)
		}
		fleet.replaceGateway()
		for number, begun := range streams {
			events := strings.Count(begun.body, "data:")
			if events == 0 {
				continue
			}
			headers := []string{"Ochrebay-Program", begun.program, "Ochrebay-Session", begun.session, "Last-Event-Id", fmt.Sprint(events)}
			if rapid.Bool().Draw(draw, "names the stream") {
				headers = append(headers, "Ochrebay-Takes-Up", begun.id)
			}
			if rapid.IntRange(0, 3).Draw(draw, "another kill") == 0 {
				fleet.replaceGateway()
			}
			response, body, _ := fleet.fixture.send("/resumable/", fmt.Sprint("taken-up-", number), headers...)
			if response == nil || response.StatusCode != http.StatusOK {
				continue
			}
			takenUp++
			for _, version := range versionsIn(body) {
				if !slices.Contains(versionsIn(begun.body), version) {
					draw.Fatalf("stream %s began at %v and went on at %s", begun.id, versionsIn(begun.body), version)
				}
			}
		}
	})
	if takenUp == 0 {
		t.Error("no stream was taken up")
	}
}

// TestStreamsTakenUpAtAGatewayOutOfStep guards against a stream that began at an engine of a new software version, is
// taken up at a gateway that does not know all engines of that version yet, and goes on at another one.
func TestStreamsTakenUpAtAGatewayOutOfStep(t *testing.T) {
	rejected, takenUp := 0, 0
	rapid.Check(t, func(draw *rapid.T) {
		fleet := newStreamingFleet(t)
		fleet.fixture.ledger.recordStreams(answerAll)
		for number := range rapid.IntRange(1, 3).Draw(draw, "engines of v1") {
			fleet.addEngine(fmt.Sprint("old-", number), "v1", 0)
		}
		staleView := maps.Clone(fleet.fixture.gateway.view.Load().fleet.Engines)
		for number := range rapid.IntRange(1, 3).Draw(draw, "engines of v2") {
			fleet.addEngine(fmt.Sprint("new-", number), "v2", rapid.IntRange(1, versionedStreamEvents-1).Draw(draw, "breaks after"))
		}
		for id := range staleView {
			fleet.avoid(id)
		}
		_, begun, _ := fleet.fixture.send("/resumable/", "r1", "Ochrebay-Session", "s1")
		events := strings.Count(begun, "data:")
		if len(versionsIn(begun)) > 1 {
			draw.Fatalf("the stream is joined from %v", versionsIn(begun))
		}
		if events == versionedStreamEvents {
			// Its gateway resumed it to its end.
			return
		}
		fleet.addEngine("whole-new", "v2", 0)
		joined := fleet.fixture.gateway.view.Load().fleet.Engines
		knowsOne := rapid.Bool().Draw(draw, "knows an engine of v2")
		if knowsOne {
			staleView["whole-new"] = joined["whole-new"]
		}
		fleet.addGateway(staleView)
		headers := []string{"Ochrebay-Session", "s1", "Last-Event-Id", fmt.Sprint(events)}
		if rapid.Bool().Draw(draw, "names the stream") {
			headers = append(headers, "Ochrebay-Takes-Up", "r1")
		}
		runs := len(fleet.engineRuns())
		response, body, err := fleet.fixture.send("/resumable/", "r2", headers...)
		if err != nil {
			draw.Fatal(err)
		}
		if response.StatusCode == http.StatusOK {
			takenUp++
			if !knowsOne || !slices.Equal(versionsIn(body), versionsIn(begun)) {
				draw.Fatalf("a stream of %v went on at %v", versionsIn(begun), versionsIn(body))
			}
			return
		}
		rejected++
		if response.StatusCode != http.StatusServiceUnavailable || knowsOne || len(fleet.engineRuns()) != runs {
			draw.Fatalf("status %d, %d engines ran it, knows an engine of v2: %t", response.StatusCode, len(fleet.engineRuns())-runs, knowsOne)
		}
	})
	if rejected == 0 || takenUp == 0 {
		t.Errorf("%d rejected, %d taken up", rejected, takenUp)
	}
}
