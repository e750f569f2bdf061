// Package gateway implements the process that accepts callers' requests. It routes each request,
// lets it wait until an engine may have capacity, selects the engine, forwards request and
// response, and reserves and retains turns at the ledger. It holds no state that must survive a
// restart.
package gateway

import (
	"net/http"
	"strings"
)

// HeaderNames holds the names of the HTTP headers that describe a request between callers, gateways
// and engines. A deployment may use names of its own.
type HeaderNames struct {
	// The following headers are set by the caller.
	RequestID  string
	DeadlineMs string
	Program    string
	Session    string
	// FinishMs names the header with the time in milliseconds until the whole program should end.
	FinishMs string
	// PromptPrefix names the header with the parts of a prompt in order, as ID:TOKENS.
	PromptPrefix string
	TokenBudget  string
	// TokenUsage names the header with two numbers of tokens, separated by a comma. Gateways use
	// the second, the maximum that the turn may generate.
	TokenUsage   string
	PreviousTurn string
	// LastEventID names the header with the last event that the caller has received of the stream
	// that it takes up, and TakesUp the header with the id of the request that brought the stream's
	// first event.
	LastEventID string
	TakesUp     string
	AffinityKey string
	// APIKey names the header with the key of the caller's tenant, which is never sent to engines.
	APIKey string
	// The following headers are sent to the engine; only gateways set them.
	ExpectEngine string
	Priority     string
	Tenant       string
	// The following headers are set by the engine.
	NotExecuted string
	Signature   string
	// Reserved lists further headers that only gateways set; those of a caller are dropped.
	Reserved []string
}

// DefaultHeaderNames returns the product's own header names.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID: "Ochrebay-Request", DeadlineMs: "Ochrebay-Deadline-Ms", Program: "Ochrebay-Program",
		Session: "Ochrebay-Thread", FinishMs: "Ochrebay-Finish-Ms", PromptPrefix: "Ochrebay-Prefix",
		TokenBudget: "Ochrebay-Token-Budget", TokenUsage: "Ochrebay-Tokens", PreviousTurn: "Ochrebay-Previous-Turn",
		LastEventID: "Last-Event-Id", TakesUp: "Ochrebay-Takes-Up", AffinityKey: "Ochrebay-Affinity", ExpectEngine: "Ochrebay-Expect-Engine",
		Priority: "Ochrebay-Priority", APIKey: "Ochrebay-Key", Tenant: "Ochrebay-Tenant", NotExecuted: "Ochrebay-Not-Run", Signature: "Ochrebay-Signature",
	}
}

// hopByHopHeaders apply to one connection only (RFC 9110, section 7.6.1). The list also has
// Content-Length, which the gateway sets itself, and Expect, which it answers itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Expect",
}

// endToEndHeaders returns a copy of a header without the fields that apply to one connection only.
func endToEndHeaders(header http.Header) http.Header {
	copied := header.Clone()
	for _, list := range header.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(copied, name)
	}
	return copied
}
