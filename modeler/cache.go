package modeler

import "container/list"

// Cache is an LRU cache of chat prefixes.
type Cache struct {
	capacity int
	size     int
	order    *list.List
	index    map[string]*list.Element
}

type cached struct {
	chat   string
	tokens int
}

func newCache(capacity int) *Cache {
	return &Cache{capacity: capacity, order: list.New(), index: map[string]*list.Element{}}
}

// Tokens returns the cached length of the chat's prefix.
func (c *Cache) Tokens(chat string) int {
	if e, ok := c.index[chat]; ok {
		return e.Value.(*cached).tokens
	}
	return 0
}

// put stores the prefix of a chat and evicts the least recently used ones.
func (c *Cache) put(chat string, tokens int) {
	if e, ok := c.index[chat]; ok {
		entry := e.Value.(*cached)
		c.size += max(tokens, entry.tokens) - entry.tokens
		entry.tokens = max(tokens, entry.tokens)
		c.order.MoveToFront(e)
	} else {
		c.index[chat] = c.order.PushFront(&cached{chat, tokens})
		c.size += tokens
	}
	for c.size > c.capacity && c.order.Len() > 1 {
		last := c.order.Remove(c.order.Back()).(*cached)
		delete(c.index, last.chat)
		c.size -= last.tokens
	}
}
