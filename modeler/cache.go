package modeler

import "container/list"

// Cache models the prefix cache of an engine. It holds the number of cached tokens
// of each chat and evicts the least recently used chat when it is full.
type Cache struct {
	// capacity and size are numbers of tokens.
	capacity int
	size     int
	// order holds the entries, the most recently used one first.
	order *list.List
	index map[string]*list.Element
}

type cacheEntry struct {
	chat   string
	tokens int
}

func newCache(capacity int) *Cache {
	return &Cache{capacity: capacity, order: list.New(), index: map[string]*list.Element{}}
}

// Tokens returns the number of cached tokens of the chat, or zero.
func (c *Cache) Tokens(chat string) int {
	if e, ok := c.index[chat]; ok {
		return e.Value.(*cacheEntry).tokens
	}
	return 0
}

// put stores the prefix of a chat, unless a longer one is cached, and evicts the
// least recently used chats until the cache is within its capacity. The most
// recently used chat stays even if it alone exceeds the capacity.
func (c *Cache) put(chat string, tokens int) {
	if e, ok := c.index[chat]; ok {
		entry := e.Value.(*cacheEntry)
		c.size += max(tokens, entry.tokens) - entry.tokens
		entry.tokens = max(tokens, entry.tokens)
		c.order.MoveToFront(e)
	} else {
		c.index[chat] = c.order.PushFront(&cacheEntry{chat, tokens})
		c.size += tokens
	}
	for c.size > c.capacity && c.order.Len() > 1 {
		last := c.order.Remove(c.order.Back()).(*cacheEntry)
		delete(c.index, last.chat)
		c.size -= last.tokens
	}
}
