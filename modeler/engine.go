// Package modeler models an engine in simulated time. Requests wait in a queue for
// one of a fixed number of slots. A request in a slot first computes its prompt
// (prefill) and then generates its output (decoding). Prompts are computed in
// chunks, one at a time, those of the more urgent classes first. Decoding slows
// down as more slots are in use. The computed tokens of a chat stay in an LRU cache
// and shorten the prefill of its next turn.
package modeler

import (
	"time"

	"github.com/bergamotdale/bergamotdale/looper"
	"github.com/bergamotdale/bergamotdale/scheduler"
	"github.com/bergamotdale/bergamotdale/workloader"
)

const (
	// prefillChunk is the number of prompt tokens that are computed before the
	// engine chooses again whose prompt comes next.
	prefillChunk = 512
	// decodeStep is the number of output tokens that one event of the simulation
	// generates.
	decodeStep = 8
	// cancelDelay is the time from the queue's decision to preempt a request until
	// its slot is free.
	cancelDelay = 20 * time.Millisecond
)

// Request is a turn of a chat together with its state in the fleet.
type Request struct {
	workloader.Turn
	// Arrived is the simulated time of the first attempt, and Attempts is the
	// number of attempts.
	Arrived  time.Duration
	Attempts int
	// WasStarted is set once the request has held a slot.
	WasStarted bool
	// Runs is the number of times that the request was started, and Cached is the
	// number of tokens that were in the cache at the last start.
	Runs   int
	Cached int
	// Generated is the number of output tokens, and FirstToken is the simulated
	// time of the first one.
	Generated  int
	FirstToken time.Duration
	// uncomputed is the number of tokens that have to be computed before the next
	// output token.
	uncomputed int
}

// Hooks connects an engine to the simulation, which it notifies of its actions.
type Hooks interface {
	// FindRequest returns the request with the ID.
	FindRequest(id string) *Request
	// Started is called each time a request takes a slot. Completed and Preempted
	// are called when it has freed the slot.
	Started(r *Request)
	Completed(r *Request)
	Preempted(r *Request)
	// PrefixCached is called after each run with the number of tokens of the
	// request's chat that are now cached.
	PrefixCached(r *Request, tokens int)
}

// Engine models an engine and its queue.
type Engine struct {
	Queue   Queue
	Cache   *Cache
	loop    *looper.Loop
	shape   workloader.Shape
	hooks   Hooks
	crashed bool
	// running holds the requests in slots by ID, and heldSlots their number by class.
	running   map[string]*Request
	heldSlots [workloader.ClassCount]int
	// prefillQueues holds the requests whose prompts are not yet computed, by class.
	prefillQueues [workloader.ClassCount][]*Request
	// prefilling is set while a chunk of a prompt is computed.
	prefilling bool
}

// New returns an idle engine of the shape with the given queue, which it sets to
// the number of slots.
func New(loop *looper.Loop, shape workloader.Shape, queue Queue, hooks Hooks) *Engine {
	queue.SetLimit(loop.Clock(), shape.Slots)
	return &Engine{
		Queue: queue, Cache: newCache(shape.CacheTokens), loop: loop, shape: shape, hooks: hooks,
		running: map[string]*Request{},
	}
}

// Load returns the load that the load bound limits: the requests that run or wait.
func (e *Engine) Load() int {
	return e.Queue.Load()
}

// SlotsHeld returns the number of slots that requests of the class hold.
func (e *Engine) SlotsHeld(class int) int {
	return e.heldSlots[class]
}

// Crash ends all runs and returns the IDs of the requests that ran or waited.
func (e *Engine) Crash() []string {
	e.crashed = true
	clear(e.running)
	return e.Queue.Items()
}

// Dispatch starts and preempts the requests that the queue selects.
func (e *Engine) Dispatch() {
	d := e.Queue.Next(e.loop.Clock())
	for _, item := range d.Start {
		e.start(e.hooks.FindRequest(item.ID))
	}
	for _, item := range d.Preempt {
		r := e.hooks.FindRequest(item.ID)
		runNumber := r.Runs
		e.loop.After(cancelDelay, func() { e.preempt(r, runNumber) })
	}
}

// start puts a request into a slot and queues its prompt for prefill.
func (e *Engine) start(r *Request) {
	r.Runs++
	r.WasStarted = true
	e.running[r.ID] = r
	e.heldSlots[r.Class]++
	// Even with the whole prompt cached, the engine has to compute its last token to
	// get the first output token.
	r.Cached = min(e.Cache.Tokens(r.Name), r.Prompt+r.Generated-1)
	r.uncomputed = r.Prompt + r.Generated - r.Cached
	e.hooks.Started(r)
	e.prefillQueues[r.Class] = append(e.prefillQueues[r.Class], r)
	e.prefill()
}

// prefill computes the next chunk of the first prompt of the most urgent class.
func (e *Engine) prefill() {
	if e.prefilling || e.crashed {
		return
	}
	for class := range e.prefillQueues {
		if len(e.prefillQueues[class]) == 0 {
			continue
		}
		r := e.prefillQueues[class][0]
		chunk := min(r.uncomputed, prefillChunk)
		runNumber := r.Runs
		e.prefilling = true
		seconds := float64(chunk) / e.shape.PrefillRate
		e.loop.After(time.Duration(seconds*float64(time.Second)), func() {
			e.prefilling = false
			e.finishChunk(r, runNumber, chunk)
			e.prefill()
		})
		return
	}
}

// finishChunk records a computed chunk and starts decoding after the last one.
func (e *Engine) finishChunk(r *Request, runNumber, chunk int) {
	if !e.isCurrentRun(r, runNumber) {
		return
	}
	r.uncomputed -= chunk
	if r.uncomputed > 0 {
		return
	}
	e.prefillQueues[r.Class] = e.prefillQueues[r.Class][1:]
	if r.FirstToken == 0 {
		r.FirstToken = e.loop.Now
	}
	e.decode(r, runNumber)
}

// decode generates up to decodeStep tokens and repeats until the output is complete.
func (e *Engine) decode(r *Request, runNumber int) {
	shape := e.shape
	step := min(r.Output-r.Generated, decodeStep)
	busy := min(float64(len(e.running))/float64(shape.Slots), 1)
	tokenTime := time.Duration(float64(shape.TokenTime) * (1 + shape.Slowdown*busy))
	e.loop.After(time.Duration(step)*tokenTime, func() {
		if !e.isCurrentRun(r, runNumber) {
			return
		}
		r.Generated += step
		if r.Generated < r.Output {
			e.Queue.Progress(r.ID, r.Generated)
			e.decode(r, runNumber)
			return
		}
		e.finish(r)
	})
}

// isCurrentRun reports whether the request is still in the run with the given
// number, and not preempted, restarted or ended since.
func (e *Engine) isCurrentRun(r *Request, runNumber int) bool {
	return e.running[r.ID] == r && r.Runs == runNumber
}

// finish frees the slot of a completed request.
func (e *Engine) finish(r *Request) {
	e.release(r)
	e.Queue.Progress(r.ID, r.Generated)
	e.Queue.Done(e.loop.Clock(), r.ID)
	e.hooks.Completed(r)
	e.Dispatch()
}

// preempt frees the slot of a request if it is still in the run that was selected.
func (e *Engine) preempt(r *Request, runNumber int) {
	if !e.isCurrentRun(r, runNumber) {
		return
	}
	e.release(r)
	e.Queue.Preempted(e.loop.Clock(), r.ID, r.Generated)
	e.hooks.Preempted(r)
	e.Dispatch()
}

// release ends a run and puts the tokens that it has computed into the cache.
func (e *Engine) release(r *Request) {
	delete(e.running, r.ID)
	e.heldSlots[r.Class]--
	queue := &e.prefillQueues[r.Class]
	for i, other := range *queue {
		if other == r {
			*queue = append((*queue)[:i:i], (*queue)[i+1:]...)
			break
		}
	}
	e.Cache.put(r.Name, r.Prompt+r.Generated-r.uncomputed)
	e.hooks.PrefixCached(r, r.Prompt+r.Generated-r.uncomputed)
}

// Item returns the request as the scheduler sees it. Its expected output is the
// mean of its class, since the real length is not known in advance. The scheduler
// has to correct this estimate.
func (r *Request) Item() scheduler.Item {
	return scheduler.Item{
		ID: r.ID, Workspace: r.Workspace, Class: r.Class,
		InputTokens: r.Prompt, OutputTokens: workloader.RequestSizes[r.Class].Output, Offset: r.Generated,
	}
}
