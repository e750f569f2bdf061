package gateway

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxCachedChains bounds the chains by number; bytes bound them before that.
const maxCachedChains = 1 << 16

// chainCache keeps the content of chains that this gateway has served lately, by
// the request of their last turn. A turn never changes once it is kept, so that
// what is cached stays true.
type chainCache struct {
	mutex    sync.Mutex
	chains   *simplelru.LRU[string, []byte]
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
	return cache
}

func (c *chainCache) get(request string) ([]byte, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.chains.Get(request)
}

func (c *chainCache) put(request string, chain []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.chains.Remove(request)
	c.chains.Add(request, chain)
	c.bytes += len(chain)
	for c.bytes > c.maxBytes && c.chains.Len() > 0 {
		c.chains.RemoveOldest()
	}
}
