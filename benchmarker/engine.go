package benchmarker

import (
	"container/list"
	"time"

	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/scheduler"
)

const (
	// prefillChunk is the number of prompt tokens between two decisions on
	// which request's prompt comes next.
	prefillChunk = 512
	// decodeStep is the number of output tokens between two updates.
	decodeStep = 8
	// cancelTime is the time between a decision to preempt and the free slot.
	cancelTime = 20 * time.Millisecond
)

// engine is the model of an engine together with its owner's state.
type engine struct {
	simulation *simulation
	name       string
	domain     string
	queue      queue
	overrides  *placer.Overrides
	residents  *placer.Residents
	loads      *placer.Loads
	owner      int
	joined     time.Duration
	// since is when the owner began to keep its memory, left when the engine
	// left.
	since, left time.Duration
	warm        bool
	draining    bool
	gone        bool
	cache       *cache
	running     map[string]*request
	held        [classCount]int
	prefills    [classCount][]*request
	prefilling  bool
	// known is the group's mean as the owner received it last.
	known   placer.Mean
	knownAt time.Duration
}

// cache is an LRU cache of chat prefixes.
type cache struct {
	capacity int
	size     int
	order    *list.List
	index    map[string]*list.Element
}

type cached struct {
	chat   string
	tokens int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, order: list.New(), index: map[string]*list.Element{}}
}

// tokens returns the cached length of the chat's prefix.
func (c *cache) tokens(chat string) int {
	if e, ok := c.index[chat]; ok {
		return e.Value.(*cached).tokens
	}
	return 0
}

// put stores the prefix of a chat and evicts the least recently used ones.
func (c *cache) put(chat string, tokens int) {
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

// load is what counts against the load bound.
func (e *engine) load() int {
	return e.queue.Load()
}

// dispatch carries out what the queue decides.
func (e *engine) dispatch() {
	s := e.simulation
	d := e.queue.Next(s.clock())
	for _, item := range d.Start {
		e.start(s.requests[item.ID])
	}
	for _, item := range d.Preempt {
		r := s.requests[item.ID]
		run := r.run
		s.after(cancelTime, func() { e.preempt(r, run) })
	}
}

// start begins to compute a request.
func (e *engine) start(r *request) {
	s := e.simulation
	r.run++
	r.started = true
	e.running[r.id] = r
	e.held[r.chat.class]++
	// At least one token is computed to get the first output.
	r.cached = min(e.cache.tokens(r.chat.name), r.prompt+r.generated-1)
	r.missing = r.prompt + r.generated - r.cached
	s.countReuse(r)
	e.prefills[r.chat.class] = append(e.prefills[r.chat.class], r)
	e.prefill()
}

// prefill computes the next chunk of the most urgent waiting prompt.
func (e *engine) prefill() {
	if e.prefilling || e.gone {
		return
	}
	for class := range e.prefills {
		if len(e.prefills[class]) == 0 {
			continue
		}
		r := e.prefills[class][0]
		chunk := min(r.missing, prefillChunk)
		run := r.run
		e.prefilling = true
		seconds := float64(chunk) / e.simulation.shape.PrefillRate
		e.simulation.after(time.Duration(seconds*float64(time.Second)), func() {
			e.prefilling = false
			e.prefilled(r, run, chunk)
			e.prefill()
		})
		return
	}
}

// prefilled accounts for a computed chunk.
func (e *engine) prefilled(r *request, run, chunk int) {
	if !e.runs(r, run) {
		return
	}
	r.missing -= chunk
	if r.missing > 0 {
		return
	}
	e.prefills[r.chat.class] = e.prefills[r.chat.class][1:]
	if r.firstToken == 0 {
		r.firstToken = e.simulation.now
	}
	e.decode(r, run)
}

// decode generates the next tokens.
func (e *engine) decode(r *request, run int) {
	shape := e.simulation.shape
	step := min(r.output-r.generated, decodeStep)
	busy := min(float64(len(e.running))/float64(shape.Slots), 1)
	tokenTime := time.Duration(float64(shape.TokenTime) * (1 + shape.Slowdown*busy))
	e.simulation.after(time.Duration(step)*tokenTime, func() {
		if !e.runs(r, run) {
			return
		}
		r.generated += step
		if r.generated < r.output {
			e.queue.Progress(r.id, r.generated)
			e.decode(r, run)
			return
		}
		e.finish(r)
	})
}

// runs reports whether the run of the request has not been cut short.
func (e *engine) runs(r *request, run int) bool {
	return e.running[r.id] == r && r.run == run
}

// finish completes a request.
func (e *engine) finish(r *request) {
	e.release(r)
	e.queue.Progress(r.id, r.generated)
	e.queue.Done(e.simulation.clock(), r.id)
	e.simulation.completed(r)
	e.dispatch()
}

// preempt cancels a request if it is still the same run.
func (e *engine) preempt(r *request, run int) {
	if !e.runs(r, run) {
		return
	}
	e.release(r)
	e.queue.Preempted(e.simulation.clock(), r.id, r.generated)
	e.simulation.result.Preemptions++
	e.dispatch()
}

// release ends a run; what it has computed stays in the cache.
func (e *engine) release(r *request) {
	delete(e.running, r.id)
	e.held[r.chat.class]--
	waiting := &e.prefills[r.chat.class]
	for i, o := range *waiting {
		if o == r {
			*waiting = append((*waiting)[:i:i], (*waiting)[i+1:]...)
			break
		}
	}
	e.cache.put(r.chat.name, r.prompt+r.generated-r.missing)
	e.residents.Put(r.chat.name, r.prompt+r.generated-r.missing)
}

// item is the request as the scheduler sees it. The expected output is the
// mean of the class; the scheduler has to correct it.
func (r *request) item() scheduler.Item {
	return scheduler.Item{
		ID: r.id, Workspace: r.chat.workspace, Class: r.chat.class,
		InputTokens: r.prompt, OutputTokens: works[r.chat.class].output, Offset: r.generated,
	}
}
