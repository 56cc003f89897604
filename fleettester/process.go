package fleettester

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// runProcess runs a router as a process of its own. Its log is appended to a
// file in Directory.
func (f *Fleet) runProcess(r *Router) error {
	data, err := yaml.Marshal(r.Settings)
	if err != nil {
		return errors.Trace(err)
	}
	settings := filepath.Join(f.Directory, r.Name+".yaml")
	if err := os.WriteFile(settings, data, 0o600); err != nil {
		return errors.Trace(err)
	}
	log, err := os.OpenFile(r.LogFile(f.Directory), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	command := exec.Command(f.Binary, "router", "--settings", settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return errors.Trace(err)
	}
	r.process = command.Process
	r.stop = func() { _ = r.process.Signal(syscall.SIGTERM) }
	go func() {
		defer close(r.done)
		r.err = command.Wait()
		_ = log.Close()
	}()
	return nil
}

// LogFile returns the name of the router's log file in the directory.
func (r *Router) LogFile(directory string) string {
	return filepath.Join(directory, r.Name+".log")
}

// PID returns the id of the router's process.
func (r *Router) PID() int {
	return r.process.Pid
}

// Kill ends the process of the router at once and waits for its end.
func (r *Router) Kill() {
	_ = r.process.Kill()
	<-r.done
}

// Pause stops the process of the router until Resume.
func (r *Router) Pause() error {
	return errors.Trace(r.process.Signal(syscall.SIGSTOP))
}

// Resume continues the process of the router.
func (r *Router) Resume() error {
	return errors.Trace(r.process.Signal(syscall.SIGCONT))
}
