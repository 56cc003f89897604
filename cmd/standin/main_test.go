package main

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// runAsCommand is the environment variable that makes the test binary run the
// command instead of the tests.
const runAsCommand = "STANDIN_RUN_AS_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runAsCommand) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// start runs the command as a process, waits until it serves requests, and returns
// the process and its base URL.
func start(t *testing.T, args ...string) (*exec.Cmd, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	c := exec.Command(os.Args[0], append(args, "--address", address)...)
	c.Env = append(os.Environ(), runAsCommand+"=1")
	c.Stderr = &bytes.Buffer{}
	assert.NilError(t, c.Start())
	t.Cleanup(func() { _ = c.Process.Kill() })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + address + "/counters")
		if err != nil {
			return poll.Continue("%v", err)
		}
		resp.Body.Close()
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	return c, "http://" + address
}

// Guards against a process that fails or hangs on SIGTERM while it handles a
// request that never ends.
func TestTerminate(t *testing.T) {
	for _, kind := range []string{"platform", "engine", "service"} {
		t.Run(kind, func(t *testing.T) {
			c, url := start(t, kind)
			_, err := http.Post(url+"/faults", "", strings.NewReader(`{"kind":"drop"}`))
			assert.NilError(t, err)
			requestErr := make(chan error)
			go func() {
				_, err := http.Post(url+"/call", "", strings.NewReader("{}"))
				requestErr <- err
			}()
			assert.NilError(t, c.Process.Signal(syscall.SIGTERM))
			assert.NilError(t, c.Wait())
			assert.Assert(t, <-requestErr != nil)
		})
	}
}

// Guards against a process that continues to run after a request with the crash mark.
func TestCrash(t *testing.T) {
	c, url := start(t, "service", "--crash-mark", "poison")
	_, err := http.Post(url+"/book", "", strings.NewReader(`{"a":"poison"}`))
	assert.Assert(t, err != nil)
	assert.ErrorContains(t, c.Wait(), "exit status 3")
}

// Guards against an invalid command line with an exit code other than 2.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{{}, {"engine", "--bogus"}, {"other"}} {
		c := exec.Command(os.Args[0], args...)
		c.Env = append(os.Environ(), runAsCommand+"=1")
		assert.ErrorContains(t, c.Run(), "exit status 2", "%v", args)
	}
}
