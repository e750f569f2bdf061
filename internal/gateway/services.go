package gateway

import (
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// serviceTimes learns how long the requests of each route take once they are granted, so that a
// request waits for its grant only as long as its caller can still get the answer.
type serviceTimes struct {
	mutex   sync.Mutex
	byRoute map[string]*scheduling.DecayedMean
}

func newServiceTimes() *serviceTimes {
	return &serviceTimes{byRoute: map[string]*scheduling.DecayedMean{}}
}

// record notes a request that took a time from its last send to the end of its answer.
func (s *serviceTimes) record(route string, elapsed time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	getOrCreate(s.byRoute, route).Add(clock.NowMs(), float64(elapsed)/float64(time.Millisecond), 1)
}

// expectedTime returns how long a request takes in the mean, shortestSend at the least.
func (s *serviceTimes) expectedTime(route string) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	mean := s.byRoute[route]
	if mean == nil || mean.Weight <= 0 {
		return minSendTime
	}
	return max(time.Duration(mean.Sum/mean.Weight*float64(time.Millisecond)), minSendTime)
}
