package gateway

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/ochrebay/ochrebay/internal/protocol"
)

// maxCachedChains bounds the chains by number; bytes bound them before that.
const maxCachedChains = 1 << 16

// chainCache keeps the content of chains that this gateway has served lately, by
// the request of their last turn. A turn never changes once it is kept, so that
// what is cached stays true.
type chainCache struct {
	mutex  sync.Mutex
	chains *simplelru.LRU[string, []byte]
	// sessions names the last turn of each session that is cached.
	sessions *simplelru.LRU[string, string]
	bytes    int
	maxBytes int
}

func newChainCache(maxBytes int) *chainCache {
	cache := &chainCache{maxBytes: maxBytes}
	chains, err := simplelru.NewLRU(maxCachedChains, func(_ string, chain []byte) { cache.bytes -= len(chain) })
	if err != nil {
		panic(err) // The size is a constant above zero.
	}
	cache.chains = chains
	cache.sessions, err = simplelru.NewLRU[string, string](maxCachedChains, nil)
	if err != nil {
		panic(err) // As above.
	}
	return cache
}

// cachedChain is the content of a line of turns up to one of them.
type cachedChain struct {
	turn    string
	content []byte
}

// continued returns the chain with what the ledger says that follows. The content is
// copied: several turns may go on from one.
func (k cachedChain) continued(reply *protocol.TurnReply) []byte {
	if !reply.Continued {
		return reply.Chain
	}
	return append(append(make([]byte, 0, len(k.content)+len(reply.Chain)), k.content...), reply.Chain...)
}

// get returns the chain up to a turn, or else the longest one of the same session
// that was served here; an empty one where there is none.
func (c *chainCache) get(turn, program, session string) cachedChain {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if content, ok := c.chains.Get(turn); ok {
		return cachedChain{turn, content}
	}
	last, ok := c.sessions.Get(program + "\x00" + session)
	if !ok {
		return cachedChain{}
	}
	content, ok := c.chains.Get(last)
	if !ok {
		return cachedChain{}
	}
	return cachedChain{last, content}
}

// put keeps the chain up to a turn of a session in place of the session's earlier one,
// which it begins with: a turn that goes on from there has the ledger send what is
// missing.
func (c *chainCache) put(turn, program, session string, content []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := program + "\x00" + session
	if earlier, ok := c.sessions.Get(key); ok {
		c.chains.Remove(earlier)
	}
	c.chains.Remove(turn)
	c.chains.Add(turn, content)
	c.sessions.Add(key, turn)
	c.bytes += len(content)
	for c.bytes > c.maxBytes && c.chains.Len() > 0 {
		c.chains.RemoveOldest()
	}
}
