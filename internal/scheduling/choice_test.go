package scheduling

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func candidates(count int) []Candidate {
	var all []Candidate
	for number := range count {
		all = append(all, Candidate{ID: fmt.Sprintf("e%d", number), Zone: "near", Slots: 12, Health: &EngineHealth{}})
	}
	return all
}

func TestChoose(t *testing.T) {
	prompt := []PromptPart{{"shared", 12000}, {"own", 3000}, {"new", 800}}
	stream := Demand{Stream: true, Zone: "near", Events: 10, Prompt: prompt, NowMs: 1000}
	Convey("a stream goes to the engine that holds what its session has read", t, func() {
		all := candidates(4)
		demand := stream
		demand.Home = "e2"
		chosen, found := Choose(all, demand)
		So(found, ShouldBeTrue)
		So(chosen.ID, ShouldEqual, "e2")
	})
	Convey("and elsewhere when that one is much slower, suspect, or was tried", t, func() {
		for name, spoil := range map[string]func([]Candidate, *Demand){
			"slow": func(all []Candidate, _ *Demand) {
				for range 200 {
					all[2].Health.NextEvent(1000, 150)
					all[1].Health.NextEvent(1000, 30)
				}
			},
			"suspect": func(all []Candidate, _ *Demand) { all[2].Health.Failed(1000) },
			"tried":   func(_ []Candidate, demand *Demand) { demand.Avoid = []string{"e2"} },
		} {
			all := candidates(4)
			demand := stream
			demand.Home = "e2"
			spoil(all, &demand)
			chosen, found := Choose(all, demand)
			So(found, ShouldBeTrue)
			So(name+chosen.ID, ShouldNotEqual, name+"e2")
		}
	})
	Convey("new programs spread over engines by what is under way there", t, func() {
		all := candidates(4)
		for range 40 {
			chosen, _ := Choose(all, stream)
			chosen.Health.Sent(stream.Prompt, stream.NowMs)
		}
		for _, candidate := range all {
			So(candidate.Health.InFlight, ShouldBeBetween, 6, 14)
		}
	})
	Convey("gateways that know nothing of each other do not all choose the same engine", t, func() {
		chosen := map[string]int{}
		for gateway := range 200 {
			demand := stream
			demand.Key = fmt.Sprint("program-", gateway)
			engine, _ := Choose(candidates(10), demand)
			chosen[engine.ID]++
		}
		So(len(chosen), ShouldEqual, 10)
	})
	Convey("a pace that nobody has seen lately is forgotten", t, func() {
		health := &EngineHealth{}
		for range 20 {
			health.NextEvent(1000, 200)
		}
		So(health.judgedPace(1000), ShouldBeGreaterThan, 100)
		So(health.judgedPace(1000+meanForgottenMs+1), ShouldEqual, 0)
	})
	Convey("requests with a key stay together while their engine has room", t, func() {
		all := candidates(5)
		demand := Demand{Zone: "near", Key: "17", Peers: 2}
		first, _ := Choose(all, demand)
		for range 5 {
			next, _ := Choose(all, demand)
			So(next.ID, ShouldEqual, first.ID)
		}
		first.Health.InFlight = 6
		next, _ := Choose(all, demand)
		So(next.ID, ShouldNotEqual, first.ID)
	})
	Convey("a suspect engine is taken where there is no other, and nothing where there is none", t, func() {
		all := candidates(1)
		all[0].Health.Failed(1000)
		_, found := Choose(all, Demand{NowMs: 1000})
		So(found, ShouldBeTrue)
		_, found = Choose(all, Demand{NowMs: 1000, Avoid: []string{"e0"}})
		So(found, ShouldBeFalse)
	})
	Convey("prompts are read as far as they are understood", t, func() {
		So(ParsePrompt("a1:800, b2:30,zz"), ShouldResemble, []PromptPart{{"a1", 800}, {"b2", 30}})
		So(ParsePrompt("a1:-1"), ShouldBeEmpty)
		So(ParsePrompt(""), ShouldBeEmpty)
	})
}
