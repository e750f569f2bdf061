// Package gateway is the process that takes callers' requests, finds their route,
// picks the engine and the moment, carries request and answer through, and has
// turns reserved and kept by the ledger. It holds nothing that must survive.
package gateway

import (
	"net/http"
	"strings"
)

// HeaderNames names the headers by which callers, gateways and engines tell each other
// about a request. A deployment may use names of its own.
type HeaderNames struct {
	// From the caller.
	RequestID  string
	DeadlineMs string
	Program    string
	Session    string
	// FinishMs is the time left until the whole program should be over.
	FinishMs string
	// PromptPrefix lists the parts of a prompt in order, as ID:TOKENS.
	PromptPrefix string
	TokenBudget  string
	TokenUsage   string
	PreviousTurn string
	LastEventID  string
	AffinityKey  string
	// APIKey holds the key of the caller's tenant; engines never see it.
	APIKey string
	// To the engine, set by the gateway alone.
	ExpectEngine string
	Priority     string
	Tenant       string
	// From the engine.
	NotExecuted string
	Signature   string
	// Reserved are further headers that only gateways set: a caller's are dropped.
	Reserved []string
}

// DefaultHeaderNames are the product's own names.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID: "Ochrebay-Request", DeadlineMs: "Ochrebay-Deadline-Ms", Program: "Ochrebay-Program",
		Session: "Ochrebay-Thread", FinishMs: "Ochrebay-Finish-Ms", PromptPrefix: "Ochrebay-Prefix",
		TokenBudget: "Ochrebay-Token-Budget", TokenUsage: "Ochrebay-Tokens", PreviousTurn: "Ochrebay-Previous-Turn",
		LastEventID: "Last-Event-Id", AffinityKey: "Ochrebay-Affinity", ExpectEngine: "Ochrebay-Expect-Engine",
		Priority: "Ochrebay-Priority", APIKey: "Ochrebay-Key", Tenant: "Ochrebay-Tenant", NotExecuted: "Ochrebay-Not-Run", Signature: "Ochrebay-Signature",
	}
}

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Expect",
}

// endToEndHeaders returns a copy of a header without what concerns one connection only.
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
