package control

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	stdlog "log"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"github.com/ochrebay/ochrebay/internal/bytebudget"
	"github.com/ochrebay/ochrebay/internal/daemon"
	"github.com/ochrebay/ochrebay/internal/listener"
	"github.com/ochrebay/ochrebay/internal/program"
	"github.com/ochrebay/ochrebay/internal/protocol"
	"github.com/ochrebay/ochrebay/internal/requestbody"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/settings"
	"github.com/ochrebay/ochrebay/internal/telemetry"
	"github.com/ochrebay/ochrebay/internal/upstream"
)

const (
	requestTimeout       = 5 * time.Second
	retryInterval        = 50 * time.Millisecond
	platformPollInterval = 500 * time.Millisecond
	platformTimeout      = 2 * time.Second
	maxOperatorBodyBytes = 64 << 20
	// operatorReadTimeout bounds how long a request of an operator may take to arrive.
	operatorReadTimeout = 30 * time.Second
	operatorIdleTimeout = 60 * time.Second
	defaultListLength   = 100
)

func (d *Daemon) listenHTTP() (func(), string, error) {
	bounded, err := listener.Listen(d.process.Listen.HTTP, daemon.MaxConnections(d.process.Limits, daemon.MonitoringShare))
	if err != nil {
		return nil, "", errorx.Decorate(err, "listening for operators")
	}
	d.connections.Add("monitoring", bounded.Counts)
	// A body is read by its handler, within the memory for documents.
	d.httpServer = &fasthttp.Server{
		Handler: d.serveHTTP, StreamRequestBody: true, NoDefaultServerHeader: true, ReadTimeout: operatorReadTimeout, IdleTimeout: operatorIdleTimeout,
		Logger: stdlog.New(io.Discard, "", 0),
	}
	go func() { _ = d.httpServer.Serve(bounded) }()
	return func() { _ = bounded.Close() }, bounded.Addr().String(), nil
}

func (d *Daemon) serveHTTP(ctx *fasthttp.RequestCtx) {
	if ctx.Request.IsBodyStream() && !strings.HasPrefix(string(ctx.Path()), "/v1/settings") {
		// Only changes of settings have a body; that of another request is not read.
		ctx.SetConnectionClose()
	}
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

// WriteError answers an HTTP request with the JSON body and status of an error.
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

// askLeader sends a request to this process's core, and to the leader if that is
// another process, within requestTimeout.
func (d *Daemon) askLeader(kind protocol.Kind, request any, newReply func() any, errorOf func(any) (*result.Error, string)) any {
	return d.askLeaderWithin(requestTimeout, kind, request, newReply, errorOf)
}

// askLeaderWithin is askLeader with a given timeout. While no leader answers, it retries after
// retryInterval. It returns nil if no process answered, the local one included.
func (d *Daemon) askLeaderWithin(timeout time.Duration, kind protocol.Kind, request any, newReply func() any, errorOf func(any) (*result.Error, string)) any {
	deadline := time.Now().Add(timeout)
	var lastReply any
	for time.Now().Before(deadline) {
		replies := make(chan any, 1)
		d.submit(request, func(reply any) { replies <- copyReply(reply, newReply()) })
		select {
		case lastReply = <-replies:
		case <-time.After(time.Until(deadline)):
			return lastReply
		}
		replyError, leader := errorOf(lastReply)
		if replyError == nil || replyError.Code != result.NotLeader {
			return lastReply
		}
		if remoteReply := d.askMember(leader, time.Until(deadline), kind, request, newReply()); remoteReply != nil {
			lastReply = remoteReply
			if replyError, _ = errorOf(remoteReply); replyError == nil || replyError.Code != result.NotLeader {
				return lastReply
			}
		}
		time.Sleep(retryInterval)
	}
	return lastReply
}

// copyReply copies a reply, so that it shares no memory with the core's state.
func copyReply(reply, target any) any {
	body, err := protocol.Encode(reply)
	if err != nil || protocol.Decode(body, target) != nil {
		return reply
	}
	return target
}

// askMember sends a request to another control process. It returns nil if that process
// does not answer.
func (d *Daemon) askMember(member string, timeout time.Duration, kind protocol.Kind, request, target any) any {
	address := d.addressOf(member)
	if address == "" || member == d.core.options.Name {
		return nil
	}
	if d.caller.CallWithTimeout(context.Background(), timeout, address, kind, request, target) != nil {
		return nil
	}
	return target
}

func (d *Daemon) read(request *protocol.ReadRequest) *protocol.ReadReply {
	answer := d.askLeader(protocol.KindRead, request, func() any { return &protocol.ReadReply{} }, func(reply any) (*result.Error, string) {
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
	memory := d.documentMemory.Receive(func() { _ = ctx.Conn().SetReadDeadline(time.Unix(1, 0)) })
	defer memory.Release()
	body, failure := readOperatorBody(ctx, memory)
	if failure != nil {
		ctx.SetConnectionClose()
		WriteError(ctx, failure)
		return
	}
	var change settings.Change
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		WriteError(ctx, result.New(result.MalformedRequest, "%s", strings.TrimPrefix(err.Error(), "json: ")))
		return
	}
	request := &protocol.SettingsRequest{Change: change, Validate: validate}
	answer := d.askLeader(protocol.KindSettings, request, func() any { return &protocol.SettingsReply{} }, func(reply any) (*result.Error, string) {
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
	response, _ := json.Marshal(reply.Reply)
	writeJSON(ctx, response)
}

// readOperatorBody reads the body of a request.
func readOperatorBody(ctx *fasthttp.RequestCtx, memory *bytebudget.Receipt) ([]byte, *result.Error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return ctx.PostBody(), nil
	}
	body, err := requestbody.Read(stream, int64(ctx.Request.Header.ContentLength()), maxOperatorBodyBytes, memory)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, requestbody.ErrTooLong):
		return nil, result.New(result.BodyTooLarge, "body over the limit of %d bytes", maxOperatorBodyBytes)
	case errors.Is(err, bytebudget.ErrNoMemory), errors.Is(err, bytebudget.ErrGaveWay):
		return nil, result.New(result.MemoryShort, "reading the request body: %v", err)
	}
	return nil, result.New(result.MalformedRequest, "reading the request body: %v", err)
}

// groupOf returns the ledger group that a program belongs to.
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
	answer := d.askLeader(protocol.KindLedger, request, func() any { return &protocol.LedgerReply{} }, func(reply any) (*result.Error, string) {
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

// pollPlatform reads the platform's list of instances while this process leads the
// settings group.
func (d *Daemon) pollPlatform(ctx context.Context) error {
	if d.process.PlatformAddress == "" {
		return nil
	}
	client := &http.Client{Timeout: platformTimeout, Transport: upstream.NewTransport(platformTimeout)}
	ticker := time.NewTicker(platformPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		isLeader := make(chan bool, 1)
		d.loop.Post(func() { isLeader <- d.core.IsLeader(0) })
		select {
		case <-ctx.Done():
			return ctx.Err()
		case leading := <-isLeader:
			if !leading {
				continue
			}
		}
		instances, unusable, err := fetchInstances(client, d.process.PlatformAddress)
		if err != nil {
			telemetry.Warn(d.logger, "could not read the platform's list of instances", "err", err)
			continue
		}
		if unusable > 0 {
			d.ignoredReports.WithLabelValues(reasonListEntry).Add(float64(unusable))
			d.instanceListLog.Do(func() {
				telemetry.Warn(d.logger, "the platform's list of instances has unusable entries", "entries", unusable, "of", unusable+len(instances))
			})
		}
		d.loop.Post(func() { d.core.SetInstances(instances) })
	}
}
