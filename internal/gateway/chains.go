package gateway

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/ochrebay/ochrebay/internal/protocol"
)

// maxCachedHistories bounds the chains by number; bytes bound them before that.
const maxCachedHistories = 1 << 16

// historyCache keeps the content of chains that this gateway has served lately, by
// the request of their last turn. A turn never changes once it is kept, so that
// what is cached stays true.
type historyCache struct {
	mutex  sync.Mutex
	byTurn *simplelru.LRU[string, []byte]
	// lastTurnBySession names the last turn of each session that is cached.
	lastTurnBySession *simplelru.LRU[string, string]
	bytes             int
	maxBytes          int
}

func newHistoryCache(maxBytes int) *historyCache {
	cache := &historyCache{maxBytes: maxBytes}
	byTurn, err := simplelru.NewLRU(maxCachedHistories, func(_ string, content []byte) { cache.bytes -= len(content) })
	if err != nil {
		panic(err) // The size is a constant above zero.
	}
	cache.byTurn = byTurn
	cache.lastTurnBySession, err = simplelru.NewLRU[string, string](maxCachedHistories, nil)
	if err != nil {
		panic(err) // As above.
	}
	return cache
}

// cachedHistory is the content of a line of turns up to one of them.
type cachedHistory struct {
	turn    string
	content []byte
}

// extend returns the chain with what the ledger says that follows. The content is
// copied: several turns may go on from one.
func (h cachedHistory) extend(reply *protocol.TurnReply) []byte {
	if !reply.Continued {
		return reply.Chain
	}
	return append(append(make([]byte, 0, len(h.content)+len(reply.Chain)), h.content...), reply.Chain...)
}

// get returns the chain up to a turn, or else the longest one of the same session
// that was served here; an empty one where there is none.
func (c *historyCache) get(turn, program, session string) cachedHistory {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if content, ok := c.byTurn.Get(turn); ok {
		return cachedHistory{turn, content}
	}
	lastTurn, ok := c.lastTurnBySession.Get(program + "\x00" + session)
	if !ok {
		return cachedHistory{}
	}
	content, ok := c.byTurn.Get(lastTurn)
	if !ok {
		return cachedHistory{}
	}
	return cachedHistory{lastTurn, content}
}

// put keeps the chain up to a turn of a session in place of the session's earlier one,
// which it begins with: a turn that goes on from there has the ledger send what is
// missing.
func (c *historyCache) put(turn, program, session string, content []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := program + "\x00" + session
	if previousTurn, ok := c.lastTurnBySession.Get(key); ok {
		c.byTurn.Remove(previousTurn)
	}
	c.byTurn.Remove(turn)
	c.byTurn.Add(turn, content)
	c.lastTurnBySession.Add(key, turn)
	c.bytes += len(content)
	for c.bytes > c.maxBytes && c.byTurn.Len() > 0 {
		c.byTurn.RemoveOldest()
	}
}
