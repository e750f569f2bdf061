package gateway

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/ochrebay/ochrebay/internal/protocol"
)

// maxCachedHistories bounds the number of cached histories. The bound in bytes is normally reached
// first.
const maxCachedHistories = 1 << 16

// historyCache is an LRU cache of the turn histories that this gateway has served, keyed by the
// request id of their last turn. Entries never become stale, because a retained turn never changes.
type historyCache struct {
	mutex  sync.Mutex
	byTurn *simplelru.LRU[string, []byte]
	// lastTurnBySession holds the last turn of each cached session.
	lastTurnBySession *simplelru.LRU[string, string]
	bytes             int
	maxBytes          int
}

func newHistoryCache(maxBytes int) *historyCache {
	cache := &historyCache{maxBytes: maxBytes}
	byTurn, err := simplelru.NewLRU(maxCachedHistories, func(_ string, content []byte) { cache.bytes -= len(content) })
	if err != nil {
		panic(err) // Unreachable: the size is a positive constant.
	}
	cache.byTurn = byTurn
	cache.lastTurnBySession, err = simplelru.NewLRU[string, string](maxCachedHistories, nil)
	if err != nil {
		panic(err) // Unreachable for the same reason.
	}
	return cache
}

// cachedHistory is the content of a sequence of turns up to and including the named turn.
type cachedHistory struct {
	turn    string
	content []byte
}

// extend returns the cached history followed by the turns in the ledger's reply, or the reply alone
// if it holds the full history. The content is copied because several turns may continue from the
// same one.
func (h cachedHistory) extend(reply *protocol.TurnReply) []byte {
	if !reply.IsContinuation {
		return reply.History
	}
	return append(append(make([]byte, 0, len(h.content)+len(reply.History)), h.content...), reply.History...)
}

// get returns the history up to a turn. If that is not cached, it returns the history up to the
// last cached turn of the same session, or an empty one if there is none.
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

// put caches the history up to a turn of a session. It replaces the session's earlier history,
// which is a prefix of the new one. If a later turn continues from the earlier history, the ledger
// sends the part that is no longer cached.
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
