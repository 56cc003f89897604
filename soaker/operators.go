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

// operatorTimeout bounds one change of the configuration.
const operatorTimeout = 5 * time.Second

// operators changes the configuration now and then, two of them at once with
// the same base (F8): at most one may be accepted.
func (s *Soaker) operators(ctx context.Context, random *rand.Rand, running func() bool) {
	for running() {
		s.pause(ctx, random, 8*time.Second)
		s.race(ctx, random)
	}
}

// race lets two operators change the configuration through different routers.
func (s *Soaker) race(ctx context.Context, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	base, yaml, err := s.configuration(ctx, random)
	if err != nil {
		s.count("configuration not read")
		return
	}
	accepted := make(chan int64, 2)
	var wait sync.WaitGroup
	for i := range 2 {
		address := s.fleet.Router(random.IntN(routers)).Settings.Listen.Operators
		weight := fmt.Sprintf("load-multiple: 1.%d", 25+random.IntN(50)+50*i%99)
		wait.Go(func() { s.apply(ctx, address, base, replaceLine(yaml, "load-multiple:", weight), accepted) })
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
		s.violate("I7: two changes of revision %d were accepted", base)
	}
}

// configuration reads the configuration in force through a random router.
func (s *Soaker) configuration(ctx context.Context, random *rand.Rand) (int64, string, error) {
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

// apply sends one change and reports an accepted revision.
func (s *Soaker) apply(ctx context.Context, address string, base int64, yaml string, accepted chan<- int64) {
	client, err := operator.Dial(ctx, []string{address})
	if err != nil {
		s.count("configuration change not sent")
		return
	}
	response, err := client.Apply(ctx, connect.NewRequest(&pb.ApplyRequest{
		File: "soak.yaml", Yaml: yaml, Base: base, Author: address, Comment: "soak",
	}))
	if err != nil {
		s.count("configuration change without response")
		return
	}
	s.count("configuration change: " + response.Msg.GetOutcome().String())
	if response.Msg.GetOutcome() == pb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED {
		accepted <- response.Msg.GetRevision()
	}
}

// replaceLine replaces the line that starts with the key, keeping its indent.
func replaceLine(yaml, key, line string) string {
	lines := strings.Split(yaml, "\n")
	for i, l := range lines {
		if trimmed := strings.TrimLeft(l, " "); strings.HasPrefix(trimmed, key) {
			lines[i] = l[:len(l)-len(trimmed)] + line
		}
	}
	return strings.Join(lines, "\n")
}
