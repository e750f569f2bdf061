package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/quota"
)

func TestWaitForQuota(t *testing.T) {
	Convey("a request that waits for room asks again with its ticket and is then served", t, func() {
		stand := newTenantFixture(t, respondSigned)
		var asked []quota.Request
		stand.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			asked = append(asked, *request.Quota)
			if len(asked) < 3 {
				return &protocol.TurnReply{Queued: &quota.QueuePosition{Ahead: 1}}
			}
			return &protocol.TurnReply{Grant: &quota.Grant{}}
		})
		response, _, err := stand.send("/safe/", "r1", "Ochrebay-Key", otherKey)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(asked, ShouldHaveLength, 3)
		So(asked[2].Ticket, ShouldEqual, asked[0].Ticket)
		So(asked[2].MaxWaitMs, ShouldBeLessThanOrEqualTo, asked[0].MaxWaitMs)
		So(stand.runs.Load(), ShouldEqual, 1)
	})
	Convey("a caller that leaves while its request waits gives its place back", t, func() {
		stand := newTenantFixture(t, respondSigned)
		cancelled := make(chan string, 1)
		waits := make(chan string, 100)
		stand.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			if request.Quota.Cancelled {
				cancelled <- request.Quota.Ticket
				return &protocol.TurnReply{}
			}
			select {
			case waits <- request.Quota.Ticket:
			default:
			}
			time.Sleep(time.Millisecond)
			return &protocol.TurnReply{Queued: &quota.QueuePosition{}}
		})
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, stand.server.URL+"/safe/", http.NoBody)
		So(err, ShouldBeNil)
		request.Host = "h"
		request.Header.Set("Ochrebay-Request", "r1")
		request.Header.Set("Ochrebay-Key", otherKey)
		ended := make(chan error, 1)
		go func() {
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				_ = response.Body.Close()
			}
			ended <- err
		}()
		ticket := <-waits
		cancel()
		So(<-ended, ShouldNotBeNil)
		select {
		case given := <-cancelled:
			So(given, ShouldEqual, ticket)
		case <-time.After(testTimeout):
			So("no place was given back", ShouldBeBlank)
		}
		So(stand.runs.Load(), ShouldEqual, 0)
	})
}
