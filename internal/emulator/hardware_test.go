package emulator

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSlowed(t *testing.T) {
	Convey("a job takes as many times longer as the engine is slower", t, func() {
		took := func(slowness float64) int64 {
			model := NewModel(WithSlowdown(HardwareByName("new"), slowness))
			model.Submit(Job{ID: "a", Segments: []Segment{{PrefixDigest: 1, Tokens: 5_000}}, OutputTokens: 50, DigestWithResponse: 2}, 0)
			for nowUs := int64(0); ; nowUs += 100 {
				for _, step := range model.Advance(nowUs) {
					if step.IsDone {
						return nowUs
					}
				}
			}
		}
		So(took(0), ShouldEqual, took(1))
		So(float64(took(2.2))/float64(took(1)), ShouldAlmostEqual, 2.2, 0.05)
		So(float64(took(0.5))/float64(took(1)), ShouldAlmostEqual, 0.5, 0.05)
	})
}
