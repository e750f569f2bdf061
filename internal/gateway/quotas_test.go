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
	Convey("a queued quota request is repeated with the same ticket until it is granted", t, func() {
		fixture := newTenantFixture(t, respondSigned)
		var requests []quota.Request
		fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			requests = append(requests, *request.Quota)
			if len(requests) < 3 {
				return &protocol.TurnReply{QueuePosition: &quota.QueuePosition{Ahead: 1}}
			}
			return &protocol.TurnReply{Grant: &quota.Grant{}}
		})
		response, _, err := fixture.send("/safe/", "r1", "Ochrebay-Key", otherKey)
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, 200)
		So(requests, ShouldHaveLength, 3)
		So(requests[2].Ticket, ShouldEqual, requests[0].Ticket)
		So(requests[2].MaxWaitMs, ShouldBeLessThanOrEqualTo, requests[0].MaxWaitMs)
		So(fixture.runs.Load(), ShouldEqual, 1)
	})
	Convey("a caller that disconnects while its request is queued cancels the quota request", t, func() {
		fixture := newTenantFixture(t, respondSigned)
		cancelled := make(chan string, 1)
		tickets := make(chan string, 100)
		fixture.ledger.setResponse(func(request *protocol.TurnRequest) *protocol.TurnReply {
			if request.Quota.Cancelled {
				cancelled <- request.Quota.Ticket
				return &protocol.TurnReply{}
			}
			select {
			case tickets <- request.Quota.Ticket:
			default:
			}
			time.Sleep(time.Millisecond)
			return &protocol.TurnReply{QueuePosition: &quota.QueuePosition{}}
		})
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, fixture.server.URL+"/safe/", http.NoBody)
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
		ticket := <-tickets
		cancel()
		So(<-ended, ShouldNotBeNil)
		select {
		case returnedTicket := <-cancelled:
			So(returnedTicket, ShouldEqual, ticket)
		case <-time.After(testTimeout):
			So("the quota request was not cancelled", ShouldBeBlank)
		}
		So(fixture.runs.Load(), ShouldEqual, 0)
	})
}
