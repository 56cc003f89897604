package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/bergamotdale/bergamotdale/operator"
	pb "github.com/bergamotdale/bergamotdale/operatorpb"
)

// operatorTimeout bounds a pair of configuration changes, and the reading of the
// timeline.
const operatorTimeout = 5 * time.Second

// changeConfiguration changes the configuration every few seconds, each time with
// two concurrent changes of the same base revision. At most one of the two may be
// accepted (failure F8: two operators change the configuration at the same time).
func (s *Soaker) changeConfiguration(ctx context.Context, random *rand.Rand, running func() bool) {
	for running() {
		s.waitRandomly(ctx, random, 8*time.Second)
		s.applyConcurrently(ctx, random)
	}
}

// applyConcurrently sends two changes of the same base revision through random
// routers and checks that at most one is accepted (I7).
func (s *Soaker) applyConcurrently(ctx context.Context, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	base, yaml, err := s.readConfiguration(ctx, random)
	if err != nil {
		s.countEvent("configuration not read")
		return
	}
	accepted := make(chan int64, 2)
	var wait sync.WaitGroup
	for i := range 2 {
		address := s.fleet.Router(random.IntN(routers)).Settings.Listen.Operators
		weight := fmt.Sprintf("load-multiple: 1.%d", 25+random.IntN(50)+50*i%99)
		wait.Go(func() { s.applyChange(ctx, address, base, replaceLine(yaml, "load-multiple:", weight), accepted) })
	}
	wait.Wait()
	close(accepted)
	revisions := 0
	for revision := range accepted {
		if revision > base {
			revisions++
		}
	}
	if revisions > 1 {
		s.recordViolation("I7: two changes of revision %d were accepted", base)
	}
}

// readConfiguration reads the revision in force and its YAML text through a random
// router.
func (s *Soaker) readConfiguration(ctx context.Context, random *rand.Rand) (int64, string, error) {
	client, err := operator.Dial(ctx, []string{s.fleet.Router(random.IntN(routers)).Settings.Listen.Operators})
	if err != nil {
		return 0, "", err
	}
	response, err := client.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
	if err != nil {
		return 0, "", err
	}
	return response.Msg.GetRevision(), response.Msg.GetYaml(), nil
}

// applyChange sends one change and, if it is accepted, sends its revision to the
// channel accepted.
func (s *Soaker) applyChange(ctx context.Context, address string, base int64, yaml string, accepted chan<- int64) {
	client, err := operator.Dial(ctx, []string{address})
	if err != nil {
		s.countEvent("configuration change not sent")
		return
	}
	response, err := client.Apply(ctx, connect.NewRequest(&pb.ApplyRequest{
		File: "soak.yaml", Yaml: yaml, Base: base, Author: address, Comment: "soak",
	}))
	if err != nil {
		s.countEvent("configuration change without response")
		return
	}
	s.countEvent("configuration change: " + response.Msg.GetOutcome().String())
	if response.Msg.GetOutcome() == pb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED {
		accepted <- response.Msg.GetRevision()
	}
}

// replaceLine replaces the lines that start with the key and keeps their indent.
func replaceLine(yaml, key, line string) string {
	lines := strings.Split(yaml, "\n")
	for i, l := range lines {
		if trimmed := strings.TrimLeft(l, " "); strings.HasPrefix(trimmed, key) {
			lines[i] = l[:len(l)-len(trimmed)] + line
		}
	}
	return strings.Join(lines, "\n")
}
