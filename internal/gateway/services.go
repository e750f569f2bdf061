package gateway

import (
	"sync"
	"time"

	"github.com/ochrebay/ochrebay/internal/clock"
	"github.com/ochrebay/ochrebay/internal/scheduling"
)

// serviceTimes learns how long the requests of each route take once their quota is granted, so that
// a request waits for its grant only as long as the caller can still get the response.
type serviceTimes struct {
	mutex   sync.Mutex
	byRoute map[string]*scheduling.DecayedMean
}

func newServiceTimes() *serviceTimes {
	return &serviceTimes{byRoute: map[string]*scheduling.DecayedMean{}}
}

// record adds the time from the last attempt of a request to the end of its response.
func (s *serviceTimes) record(route string, elapsed time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	getOrCreate(s.byRoute, route).Add(clock.NowMs(), float64(elapsed)/float64(time.Millisecond), 1)
}

// expectedTime returns the decayed mean time of a route's requests, but at least minSendTime, which
// is also returned if the mean is unknown.
func (s *serviceTimes) expectedTime(route string) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	mean := s.byRoute[route]
	if mean == nil || mean.Weight <= 0 {
		return minSendTime
	}
	return max(time.Duration(mean.Sum/mean.Weight*float64(time.Millisecond)), minSendTime)
}
