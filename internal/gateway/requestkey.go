package gateway

import (
	"encoding/binary"
	"net"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// computeFingerprint sets the fingerprint, which all client attempts of one request have in common: a
// hash of its target, content and position in its program. Requests that belong to no program count as
// the same only if they come from one address.
func (c *call) computeFingerprint() {
	digest := xxhash.New()
	add := func(part []byte) {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(part)
	}
	caller := c.programID
	if caller == "" {
		caller, _, _ = net.SplitHostPort(c.request.RemoteAddr)
		if c.tenant != nil {
			caller = c.tenant.Name + "\x00" + caller
		}
	}
	for _, part := range []string{caller, c.sessionID, c.previousTurn, c.request.Method, c.request.Host, c.request.RequestURI, c.affinityKey} {
		add([]byte(part))
	}
	add(c.body)
	c.fingerprint = strconv.FormatUint(digest.Sum64(), 16)
}
