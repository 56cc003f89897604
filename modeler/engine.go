// Package modeler is a small model of an engine: a queue in front of a number of
// slots, a prefill rate that the requests share in order of their class, decoding
// that slows down as slots fill, and an LRU cache of chat prefixes.
package modeler

import (
	"time"

	"github.com/bergamotdale/bergamotdale/looper"
	"github.com/bergamotdale/bergamotdale/scheduler"
	"github.com/bergamotdale/bergamotdale/workloader"
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

// Request is a turn on its way through the fleet.
type Request struct {
	workloader.Turn
	// Arrived is the time of the first attempt.
	Arrived  time.Duration
	Attempts int
	// WasStarted is set once the request has held a slot.
	WasStarted bool
	// Runs counts the starts, Cached is the part of the prompt that was in the
	// cache at the last one.
	Runs       int
	Cached     int
	Generated  int
	FirstToken time.Duration
	// missing is the part of the prompt that still has to be computed.
	missing int
}

// Hooks tell a simulation what an engine does.
type Hooks interface {
	// Find returns the request with the ID.
	Find(id string) *Request
	Started(r *Request)
	Completed(r *Request)
	Preempted(r *Request)
	// Cached is called with the length of a chat's prefix after a run.
	Cached(r *Request, tokens int)
}

// Engine is the model of an engine with its queue.
type Engine struct {
	Queue      Queue
	Cache      *Cache
	loop       *looper.Loop
	shape      workloader.Shape
	hooks      Hooks
	gone       bool
	running    map[string]*Request
	held       [workloader.ClassCount]int
	prefills   [workloader.ClassCount][]*Request
	prefilling bool
}

// New returns an idle engine of the shape.
func New(loop *looper.Loop, shape workloader.Shape, queue Queue, hooks Hooks) *Engine {
	queue.SetLimit(loop.Clock(), shape.Slots)
	return &Engine{
		Queue: queue, Cache: newCache(shape.CacheTokens), loop: loop, shape: shape, hooks: hooks,
		running: map[string]*Request{},
	}
}

// Load is what counts against the load bound.
func (e *Engine) Load() int {
	return e.Queue.Load()
}

// Held returns the number of slots that a class holds.
func (e *Engine) Held(class int) int {
	return e.held[class]
}

// Crash ends all runs and returns the requests that ran or waited.
func (e *Engine) Crash() []string {
	e.gone = true
	clear(e.running)
	return e.Queue.Items()
}

// Dispatch carries out what the queue decides.
func (e *Engine) Dispatch() {
	d := e.Queue.Next(e.loop.Clock())
	for _, item := range d.Start {
		e.start(e.hooks.Find(item.ID))
	}
	for _, item := range d.Preempt {
		r := e.hooks.Find(item.ID)
		run := r.Runs
		e.loop.After(cancelTime, func() { e.preempt(r, run) })
	}
}

// start begins to compute a request.
func (e *Engine) start(r *Request) {
	r.Runs++
	r.WasStarted = true
	e.running[r.ID] = r
	e.held[r.Class]++
	// At least one token is computed to get the first output.
	r.Cached = min(e.Cache.Tokens(r.Name), r.Prompt+r.Generated-1)
	r.missing = r.Prompt + r.Generated - r.Cached
	e.hooks.Started(r)
	e.prefills[r.Class] = append(e.prefills[r.Class], r)
	e.prefill()
}

// prefill computes the next chunk of the most urgent waiting prompt.
func (e *Engine) prefill() {
	if e.prefilling || e.gone {
		return
	}
	for class := range e.prefills {
		if len(e.prefills[class]) == 0 {
			continue
		}
		r := e.prefills[class][0]
		chunk := min(r.missing, prefillChunk)
		run := r.Runs
		e.prefilling = true
		seconds := float64(chunk) / e.shape.PrefillRate
		e.loop.After(time.Duration(seconds*float64(time.Second)), func() {
			e.prefilling = false
			e.prefilled(r, run, chunk)
			e.prefill()
		})
		return
	}
}

// prefilled accounts for a computed chunk.
func (e *Engine) prefilled(r *Request, run, chunk int) {
	if !e.runs(r, run) {
		return
	}
	r.missing -= chunk
	if r.missing > 0 {
		return
	}
	e.prefills[r.Class] = e.prefills[r.Class][1:]
	if r.FirstToken == 0 {
		r.FirstToken = e.loop.Now
	}
	e.decode(r, run)
}

// decode generates the next tokens.
func (e *Engine) decode(r *Request, run int) {
	shape := e.shape
	step := min(r.Output-r.Generated, decodeStep)
	busy := min(float64(len(e.running))/float64(shape.Slots), 1)
	tokenTime := time.Duration(float64(shape.TokenTime) * (1 + shape.Slowdown*busy))
	e.loop.After(time.Duration(step)*tokenTime, func() {
		if !e.runs(r, run) {
			return
		}
		r.Generated += step
		if r.Generated < r.Output {
			e.Queue.Progress(r.ID, r.Generated)
			e.decode(r, run)
			return
		}
		e.finish(r)
	})
}

// runs reports whether the run of the request has not been cut short.
func (e *Engine) runs(r *Request, run int) bool {
	return e.running[r.ID] == r && r.Runs == run
}

// finish completes a request.
func (e *Engine) finish(r *Request) {
	e.release(r)
	e.Queue.Progress(r.ID, r.Generated)
	e.Queue.Done(e.loop.Clock(), r.ID)
	e.hooks.Completed(r)
	e.Dispatch()
}

// preempt cancels a request if it is still the same run.
func (e *Engine) preempt(r *Request, run int) {
	if !e.runs(r, run) {
		return
	}
	e.release(r)
	e.Queue.Preempted(e.loop.Clock(), r.ID, r.Generated)
	e.hooks.Preempted(r)
	e.Dispatch()
}

// release ends a run; what it has computed stays in the cache.
func (e *Engine) release(r *Request) {
	delete(e.running, r.ID)
	e.held[r.Class]--
	waiting := &e.prefills[r.Class]
	for i, o := range *waiting {
		if o == r {
			*waiting = append((*waiting)[:i:i], (*waiting)[i+1:]...)
			break
		}
	}
	e.Cache.put(r.Name, r.Prompt+r.Generated-r.missing)
	e.hooks.Cached(r, r.Prompt+r.Generated-r.missing)
}

// Item is the request as the scheduler sees it. The expected output is the
// mean of the class; the scheduler has to correct it.
func (r *Request) Item() scheduler.Item {
	return scheduler.Item{
		ID: r.ID, Workspace: r.Workspace, Class: r.Class,
		InputTokens: r.Prompt, OutputTokens: workloader.Works[r.Class].Output, Offset: r.Generated,
	}
}
