package emulator

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWithSlowdown(t *testing.T) {
	Convey("the duration of a job is proportional to the slowdown of the engine", t, func() {
		finishTimeUs := func(slowdown float64) int64 {
			model := NewModel(WithSlowdown(HardwareByName("new"), slowdown))
			model.Submit(Job{ID: "a", Segments: []Segment{{PrefixDigest: 1, Tokens: 5_000}}, OutputTokens: 50, DigestWithResponse: 2}, 0)
			for nowUs := int64(0); ; nowUs += 100 {
				for _, progress := range model.Advance(nowUs) {
					if progress.IsDone {
						return nowUs
					}
				}
			}
		}
		So(finishTimeUs(0), ShouldEqual, finishTimeUs(1))
		So(float64(finishTimeUs(2.2))/float64(finishTimeUs(1)), ShouldAlmostEqual, 2.2, 0.05)
		So(float64(finishTimeUs(0.5))/float64(finishTimeUs(1)), ShouldAlmostEqual, 0.5, 0.05)
	})
}
