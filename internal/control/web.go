package control

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/settings"
	"github.com/ochrebay/ochrebay/internal/telemetry"
)

const (
	askTimeout        = 5 * time.Second
	askPause          = 50 * time.Millisecond
	platformEvery     = 500 * time.Millisecond
	platformTimeout   = 2 * time.Second
	maxOperatorBytes  = 64 << 20
	defaultListLength = 100
)

func (d *Daemon) listenWeb() (func(), string, error) {
	listener, err := net.Listen("tcp", d.process.Listen.HTTP)
	if err != nil {
		return nil, "", errorx.Decorate(err, "listening for operators")
	}
	d.web = &fasthttp.Server{Handler: d.serveWeb, MaxRequestBodySize: maxOperatorBytes, NoDefaultServerHeader: true}
	go func() { _ = d.web.Serve(listener) }()
	return func() { _ = listener.Close() }, listener.Addr().String(), nil
}

func (d *Daemon) serveWeb(ctx *fasthttp.RequestCtx) {
	if d.monitor.Serve(ctx) {
		return
	}
	path := string(ctx.Path())
	switch {
	case path == "/v1/status":
		d.serveRead(ctx, &protocol.ReadRequest{Topic: protocol.ReadStatus})
	case path == "/v1/engines":
		d.serveRead(ctx, &protocol.ReadRequest{Topic: protocol.ReadEngines})
	case path == "/v1/settings" && ctx.IsGet():
		d.serveRead(ctx, &protocol.ReadRequest{Topic: protocol.ReadSettings, Path: queryPath(ctx)})
	case path == "/v1/settings/history":
		d.serveRead(ctx, &protocol.ReadRequest{Topic: protocol.ReadHistory, Path: queryPath(ctx)})
	case path == "/v1/settings" && ctx.IsPost():
		d.serveChange(ctx, false)
	case path == "/v1/settings/validate" && ctx.IsPost():
		d.serveChange(ctx, true)
	case path == "/v1/programs":
		d.servePrograms(ctx)
	case strings.HasPrefix(path, "/v1/programs/"):
		d.serveProgram(ctx, strings.TrimPrefix(path, "/v1/programs/"))
	default:
		WriteError(ctx, result.New(result.NotFound, "no path %s", path))
	}
}

func queryPath(ctx *fasthttp.RequestCtx) string {
	path := string(ctx.QueryArgs().Peek("path"))
	if path == "" {
		return "/"
	}
	return path
}

// WriteError answers an HTTP request in the one shape that errors have.
func WriteError(ctx *fasthttp.RequestCtx, failure *result.Error) {
	failure = result.From(failure)
	body, _ := json.Marshal(result.Body{Error: failure})
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(failure.HTTPStatus())
	if failure.RetryAfterMs > 0 {
		seconds := (failure.RetryAfterMs + 999) / 1000
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	ctx.SetBody(append(body, '\n'))
}

func writeJSON(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// ask sends a request to this process's core, and on to the leader where that
// is another process.
func (d *Daemon) ask(kind protocol.Kind, request any, fresh func() any, failure func(any) (*result.Error, string)) any {
	return d.askWithin(askTimeout, kind, request, fresh, failure)
}

// askWithin is ask with a bound on its time; it returns nil where nobody answered.
func (d *Daemon) askWithin(within time.Duration, kind protocol.Kind, request any, fresh func() any, failure func(any) (*result.Error, string)) any {
	deadline := time.Now().Add(within)
	var last any
	for time.Now().Before(deadline) {
		replies := make(chan any, 1)
		d.request(request, func(reply any) { replies <- copyOf(reply, fresh()) })
		select {
		case last = <-replies:
		case <-time.After(time.Until(deadline)):
			return last
		}
		failed, leader := failure(last)
		if failed == nil || failed.Code != result.NotLeader {
			return last
		}
		if remote := d.askMember(leader, time.Until(deadline), kind, request, fresh()); remote != nil {
			last = remote
			if failed, _ = failure(remote); failed == nil || failed.Code != result.NotLeader {
				return last
			}
		}
		time.Sleep(askPause)
	}
	return last
}

// copyOf detaches a reply from the core's memory.
func copyOf(reply, into any) any {
	body, err := protocol.Encode(reply)
	if err != nil || protocol.Decode(body, into) != nil {
		return reply
	}
	return into
}

// askMember asks another control process; nil where it does not answer.
func (d *Daemon) askMember(member string, within time.Duration, kind protocol.Kind, request, into any) any {
	address := d.addressOf(member)
	if address == "" || member == d.core.options.Name {
		return nil
	}
	if d.caller.CallWithin(context.Background(), within, address, kind, request, into) != nil {
		return nil
	}
	return into
}

func (d *Daemon) read(request *protocol.ReadRequest) *protocol.ReadReply {
	answer := d.ask(protocol.KindRead, request, func() any { return &protocol.ReadReply{} }, func(reply any) (*result.Error, string) {
		typed := reply.(*protocol.ReadReply)
		return typed.Error, typed.Leader
	})
	if answer == nil {
		return &protocol.ReadReply{Error: result.New(result.NoQuorum, "no leader answered")}
	}
	return answer.(*protocol.ReadReply)
}

func (d *Daemon) serveRead(ctx *fasthttp.RequestCtx, request *protocol.ReadRequest) {
	reply := d.read(request)
	if reply.Error != nil {
		WriteError(ctx, reply.Error)
		return
	}
	writeJSON(ctx, reply.Body)
}

func (d *Daemon) serveChange(ctx *fasthttp.RequestCtx, validate bool) {
	var change settings.Change
	decoder := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		WriteError(ctx, result.New(result.MalformedRequest, "%s", strings.TrimPrefix(err.Error(), "json: ")))
		return
	}
	request := &protocol.SettingsRequest{Change: change, Validate: validate}
	answer := d.ask(protocol.KindSettings, request, func() any { return &protocol.SettingsReply{} }, func(reply any) (*result.Error, string) {
		typed := reply.(*protocol.SettingsReply)
		return typed.Reply.Error, typed.Leader
	})
	reply, ok := answer.(*protocol.SettingsReply)
	if !ok {
		WriteError(ctx, result.New(result.NoQuorum, "no leader answered"))
		return
	}
	if reply.Reply.Error != nil {
		telemetry.Info(d.logger, "settings change refused", "operator", change.Operator, "number", change.Number, "err", reply.Reply.Error)
		reply.Reply.Error = result.From(reply.Reply.Error)
		ctx.SetStatusCode(reply.Reply.Error.HTTPStatus())
	} else if !validate {
		telemetry.Info(d.logger, "settings change accepted", "operator", change.Operator, "number", change.Number, "revision", reply.Reply.Revision)
	}
	body, _ := json.Marshal(reply.Reply)
	writeJSON(ctx, body)
}

// GroupOf returns the ledger group that a program belongs to.
func (d *Daemon) groupOf(id string) uint32 {
	return program.GroupOf(id, uint32(d.process.Cluster.LedgerGroups))
}

func (d *Daemon) servePrograms(ctx *fasthttp.RequestCtx) {
	limit := ctx.QueryArgs().GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultListLength
	}
	var all ProgramsView
	for group := 1; group <= d.process.Cluster.LedgerGroups && len(all.Programs) < limit; group++ {
		reply := d.read(&protocol.ReadRequest{Topic: protocol.ReadPrograms, Group: uint32(group), Limit: limit - len(all.Programs)})
		if reply.Error != nil {
			WriteError(ctx, reply.Error)
			return
		}
		var part ProgramsView
		if err := json.Unmarshal(reply.Body, &part); err != nil {
			WriteError(ctx, result.New(result.Internal, "%v", err))
			return
		}
		all.Programs = append(all.Programs, part.Programs...)
	}
	body, _ := json.Marshal(all)
	writeJSON(ctx, body)
}

func (d *Daemon) serveProgram(ctx *fasthttp.RequestCtx, id string) {
	group := d.groupOf(id)
	if ctx.IsGet() {
		d.serveRead(ctx, &protocol.ReadRequest{Topic: protocol.ReadProgram, Group: group, Program: id, Limit: 1})
		return
	}
	if !ctx.IsDelete() {
		WriteError(ctx, result.New(result.MethodNotAllowed, "%s takes GET and DELETE", ctx.Path()))
		return
	}
	request := &protocol.LedgerRequest{Group: group, Command: program.Command{End: &program.End{Program: id, Reason: "operator"}}}
	answer := d.ask(protocol.KindLedger, request, func() any { return &protocol.LedgerReply{} }, func(reply any) (*result.Error, string) {
		typed := reply.(*protocol.LedgerReply)
		return typed.Reply.Error, typed.Leader
	})
	reply, ok := answer.(*protocol.LedgerReply)
	if !ok {
		WriteError(ctx, result.New(result.NoQuorum, "no leader answered"))
		return
	}
	if reply.Reply.Error != nil {
		WriteError(ctx, reply.Reply.Error)
		return
	}
	d.serveRead(ctx, &protocol.ReadRequest{Topic: protocol.ReadProgram, Group: group, Program: id})
}

// pollPlatform reads the platform's list of machines while this process leads
// the settings group.
func (d *Daemon) pollPlatform(ctx context.Context) error {
	if d.process.Platform == "" {
		return nil
	}
	ticker := time.NewTicker(platformEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		leads := make(chan bool, 1)
		d.loop.Post(func() { leads <- d.core.Leads(0) })
		select {
		case <-ctx.Done():
			return ctx.Err()
		case leading := <-leads:
			if !leading {
				continue
			}
		}
		_, body, err := fasthttp.GetTimeout(nil, "http://"+d.process.Platform+"/v1/instances", platformTimeout)
		var instances []membership.Instance
		unusable := 0
		if err == nil {
			instances, unusable, err = parseInstances(body)
		}
		if err != nil {
			telemetry.Warn(d.logger, "platform list not read", "err", err)
			continue
		}
		if unusable > 0 {
			d.reportsVoid.WithLabelValues(listEntry).Add(float64(unusable))
			d.listLog.Do(func() {
				telemetry.Warn(d.logger, "platform list has unusable entries", "entries", unusable, "of", unusable+len(instances))
			})
		}
		d.loop.Post(func() { d.core.SetInstances(instances) })
	}
}
