package commander_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/commander"
	"github.com/bergamotdale/bergamotdale/follower"
	"github.com/bergamotdale/bergamotdale/loader"
	"github.com/bergamotdale/bergamotdale/operator"
	pb "github.com/bergamotdale/bergamotdale/operatorpb"
	"github.com/bergamotdale/bergamotdale/recorder"
	"github.com/bergamotdale/bergamotdale/storetester"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// hanbit is the path of the example configuration.
const hanbit = "../examples/hanbit/configuration.yaml"

// fakeRouter is a fleet of one router. It serves the operator API and its events
// on the same listener.
type fakeRouter struct {
	clock   *storetester.Clock
	ring    *recorder.Ring
	address string
}

func (r *fakeRouter) Members() []bergamotdale.Member {
	return []bergamotdale.Member{{ID: "router-01", Address: r.address, State: bergamotdale.MemberAlive}}
}

func (r *fakeRouter) Status(context.Context) (*pb.StatusResponse, error) {
	return &pb.StatusResponse{
		Router: "router-01", Version: "v1", FailureDomain: "suwon-a", Region: "gyeonggi", Ready: true, Revision: 1,
		Members:   []*pb.MemberStatus{{Router: "router-01", Address: r.address, FailureDomain: "suwon-a", State: "alive"}},
		Endpoints: []*pb.EndpointStatus{{Endpoint: "engine-01", Owner: "router-01", Epoch: 2, State: "ok", Running: 3, Limit: 16}},
	}, nil
}

func (r *fakeRouter) Call(context.Context, string, string, any, any) error { panic("no other router") }

func (r *fakeRouter) Stream(context.Context, string, string, any) (bergamotdale.FrameStream, error) {
	panic("no other router")
}

// startRouter starts a fakeRouter that stops at the end of the test.
func startRouter(t *testing.T) *fakeRouter {
	clock := storetester.NewClock(start)
	r := &fakeRouter{clock: clock, ring: &recorder.Ring{Process: "router-01", Clock: clock}}
	configuration := &follower.Follower{
		Router: "router-01", Store: storetester.New(clock), Peer: r, Clock: clock, Recorder: r.ring,
		Logger: zap.NewNop(), Peers: func() []string { return nil },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- configuration.Run(ctx) }()
	<-configuration.Started()
	operatorServer := &operator.Server{
		Router: "router-01", Configuration: configuration, Fleet: r, Reporter: r, Peer: r, Clock: clock, MaxBytes: 1 << 20,
	}
	mux := http.NewServeMux()
	mux.Handle(operatorServer.Handler())
	mux.Handle(operator.EventsPath, r.ring.Handler())
	httpServer := httptest.NewServer(mux)
	r.address = strings.TrimPrefix(httpServer.URL, "http://")
	t.Cleanup(func() {
		httpServer.Close()
		cancel()
		assert.NilError(t, <-done)
	})
	return r
}

// run runs a command and returns the exit code and both outputs. It replaces the
// random address of the listener in them by a fixed one.
func (r *fakeRouter) run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	c := commander.Commander{
		Stdout: &out, Stderr: &err, Now: r.clock.Now,
		RunRouter: func(context.Context, *loader.Settings) error { return nil },
	}
	if r.address != "" {
		args = append(args, "--router", r.address)
	}
	code = c.Run(context.Background(), args)
	replace := func(s string) string {
		if r.address == "" {
			return s
		}
		return strings.ReplaceAll(s, r.address, "127.0.1.1:7070 ")
	}
	return code, replace(out.String()), replace(err.String())
}

// Guards against commands that return another exit code than the package comment
// documents.
func TestExitCodes(t *testing.T) {
	offline := &fakeRouter{clock: storetester.NewClock(start)}
	for _, test := range []struct {
		args string
		want int
	}{
		{"config check " + hanbit, commander.ExitSuccess},
		{"config check " + hanbit + " --json", commander.ExitSuccess},
		{"config check ../validator/testdata/references.yaml", commander.ExitInvalid},
		{"config check ../validator/testdata/references.yaml --json", commander.ExitInvalid},
		{"config check missing.yaml", commander.ExitInvalid},
		{"config apply " + hanbit + " --author jiwoo", commander.ExitInvalid},
		{"config history --router 127.0.0.1:1", commander.ExitFailure},
		{"config", commander.ExitInvalid},
		{"", commander.ExitInvalid},
		{"timeline --since yesterday", commander.ExitInvalid},
		{"timeline --limit 100000", commander.ExitInvalid},
		{"router", commander.ExitInvalid},
		{"router --settings ../loader/testdata/wrong-values.yaml", commander.ExitInvalid},
		{"router --settings ../examples/hanbit/router-01.yaml", commander.ExitSuccess},
		{"version --json", commander.ExitSuccess},
	} {
		code, _, stderr := offline.run(strings.Fields(test.args)...)
		assert.Equal(t, code, test.want, "%q: %s", test.args, stderr)
	}
	flaggy.PanicInsteadOfExit = true
	defer func() {
		flaggy.PanicInsteadOfExit = false
		assert.Assert(t, recover() != nil)
	}()
	offline.run("status", "--colour")
}

// Guards against command output that omits what operators need: the base revision
// of the next change, both sides of a conflict, and the revision that each router
// has in force. The expected outputs are in testdata.
func TestOperatorsSession(t *testing.T) {
	r := startRouter(t)
	golden.Assert(t, r.outcome(t, "config", "apply", hanbit, "--base", "0", "--author", "jiwoo", "--comment", "first"), "apply.txt")

	_, text, _ := r.run("config", "get")
	edited := filepath.Join(t.TempDir(), "edited.yaml")
	assert.NilError(t, os.WriteFile(edited, []byte(strings.Replace(text, "retry-ratio: 0.1", "retry-ratio: 0.05", 1)), 0o600))
	r.clock.Advance(time.Minute)
	assert.Equal(t, r.outcome(t, "config", "apply", edited, "--author", "eunji", "--comment", "fewer retries"),
		"exit 0\nrevision 2 is accepted; changed: routing\n")

	assert.NilError(t, os.WriteFile(edited, []byte(strings.Replace(text, "quarantine-count: 3", "quarantine-count: 5", 1)), 0o600))
	golden.Assert(t, r.outcome(t, "config", "apply", edited, "--author", "jiwoo"), "conflict.txt")
	golden.Assert(t, r.outcome(t, "config", "history"), "history.txt")
	golden.Assert(t, r.outcome(t, "config", "wait"), "wait.txt")
	golden.Assert(t, r.outcome(t, "config", "wait", "--revision", "3", "--timeout", "0s", "--json"), "wait-json.txt")
	golden.Assert(t, r.outcome(t, "status"), "status.txt")

	r.ring.Record(bergamotdale.Event{Kind: "request-refused", Chat: "c", RequestID: "r-1", Code: bergamotdale.CodeOverloaded, Detail: "two\nlines"})
	r.ring.Record(bergamotdale.Event{Kind: "request-accepted", Chat: "d"})
	golden.Assert(t, r.outcome(t, "timeline", "--chat", "c", "--since", "10s"), "timeline.txt")
}

// outcome runs a command and returns its exit code and outputs as one text.
func (r *fakeRouter) outcome(t *testing.T, args ...string) string {
	code, stdout, stderr := r.run(args...)
	var text strings.Builder
	assert.Assert(t, code <= commander.ExitInvalid)
	text.WriteString("exit " + string(rune('0'+code)) + "\n" + stdout + stderr)
	return text.String()
}
