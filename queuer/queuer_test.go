package queuer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/queuer"
)

var (
	start = time.Unix(1000, 0)
	// pace serves ten requests a second, each in 100 ms.
	pace = queuer.Pace{Rate: 10, Arrivals: 10, Duration: 100 * time.Millisecond}
)

func request(workspace string, priority int, objective time.Duration) queuer.Request {
	return queuer.Request{Workspace: workspace, Priority: priority, Objective: start.Add(objective), Deadline: start.Add(time.Hour)}
}

func push(t *testing.T, q *queuer.Queue[string], r queuer.Request, name string) *queuer.Ticket[string] {
	ticket, _ := q.Push(start, r, name, pace)
	assert.Assert(t, ticket != nil, name)
	return ticket
}

// drain takes n requests and returns their names.
func drain(q *queuer.Queue[string], now time.Time, n int) []string {
	var names []string
	for range n {
		if next := q.Next(now, pace); next != nil {
			names = append(names, next.Value)
			q.Take(now, next)
		}
	}
	return names
}

// Guards against an order other than: on time, priority, least served workspace,
// remaining time.
func TestOrder(t *testing.T) {
	q := queuer.New[string]()
	push(t, q, request("a", 0, 50*time.Millisecond), "late, urgent")
	push(t, q, request("a", 1, 9*time.Second), "on time")
	push(t, q, request("a", 0, 9*time.Second), "urgent")
	push(t, q, request("a", 0, 8*time.Second), "urgent, less time")
	q.Charge(start, "a")
	push(t, q, request("b", 0, 9*time.Second), "urgent, workspace not yet served")
	assert.DeepEqual(t, drain(q, start, 9), []string{
		"urgent, workspace not yet served", "urgent, less time", "urgent", "on time", "late, urgent",
	})
	assert.Equal(t, q.Len(), 0)
}

// Guards against a class that is starved by more urgent requests, or by those that can
// still meet their objective.
func TestEachClassKeepsAMinimumShare(t *testing.T) {
	q := queuer.New[string]()
	for range 100 {
		push(t, q, request("a", 0, time.Minute), "urgent")
		push(t, q, request("a", 1, time.Minute), "normal")
		push(t, q, request("a", 0, time.Millisecond), "late")
	}
	counts := map[string]int{}
	for _, name := range drain(q, start, 100) {
		counts[name]++
	}
	assert.Assert(t, counts["normal"] >= 4 && counts["late"] >= 4 && counts["urgent"] >= 85, "%v", counts)
}

// Guards against a workspace whose flood delays those of the others, or that is starved
// for it.
func TestWorkspacesAreServedEqually(t *testing.T) {
	q := queuer.New[string]()
	for range 50 {
		push(t, q, request("hot", 0, time.Minute), "hot")
	}
	for range 5 {
		push(t, q, request("small", 0, time.Minute), "small")
	}
	counts := map[string]int{}
	for _, name := range drain(q, start, 10) {
		counts[name]++
	}
	assert.DeepEqual(t, counts, map[string]int{"hot": 5, "small": 5})
}

// Guards against a request that is held although it cannot be served in its time, and
// against a small workspace that is refused for the flood of another.
func TestRefusesWhatCannotBeServed(t *testing.T) {
	q := queuer.New[string]()
	hurried := func(workspace string) queuer.Request {
		return queuer.Request{Workspace: workspace, Objective: start.Add(time.Second), Deadline: start.Add(1500 * time.Millisecond)}
	}
	accepted := 0
	for range 50 {
		if ticket, _ := q.Push(start, hurried("hot"), "hot", pace); ticket != nil {
			accepted++
		}
	}
	assert.Assert(t, accepted >= 8 && accepted <= 11, "%d", accepted)
	_, wait := q.Push(start, hurried("hot"), "hot", pace)
	assert.Assert(t, wait > 1400*time.Millisecond, "%s", wait)
	push(t, q, hurried("small"), "small")
	// Nothing has been served until the objective has passed.
	now := start.Add(1200 * time.Millisecond)
	expired := q.Expire(now, pace)
	assert.Assert(t, len(expired) >= accepted-1, "%d of %d", len(expired), accepted)
	assert.Equal(t, len(q.Expire(start.Add(time.Hour), pace))+len(expired), accepted+1)
	assert.Equal(t, q.Len(), 0)
	ticket, _ := q.Push(start, hurried("a"), "no capacity", queuer.Pace{Duration: time.Millisecond})
	assert.Assert(t, ticket == nil)
}
