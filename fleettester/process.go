package fleettester

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// runProcess starts a router as a separate process. Its output is appended to the
// log file in Directory.
func (f *Fleet) runProcess(r *Router) error {
	data, err := yaml.Marshal(r.Settings)
	if err != nil {
		return errors.Trace(err)
	}
	settingsFile := filepath.Join(f.Directory, r.Name+".yaml")
	if err := os.WriteFile(settingsFile, data, 0o600); err != nil {
		return errors.Trace(err)
	}
	logFile, err := os.OpenFile(r.LogFile(f.Directory), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	command := exec.Command(f.Binary, "router", "--settings", settingsFile)
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		_ = logFile.Close()
		return errors.Trace(err)
	}
	r.process = command.Process
	r.stop = func() { _ = r.process.Signal(syscall.SIGTERM) }
	go func() {
		defer close(r.done)
		r.err = command.Wait()
		_ = logFile.Close()
	}()
	return nil
}

// LogFile returns the path of the router's log file in the directory.
func (r *Router) LogFile(directory string) string {
	return filepath.Join(directory, r.Name+".log")
}

// PID returns the process ID of a router that runs as a separate process.
func (r *Router) PID() int {
	return r.process.Pid
}

// Kill ends the process of the router with SIGKILL and waits for its end.
func (r *Router) Kill() {
	_ = r.process.Kill()
	<-r.done
}

// Pause suspends the process of the router until Resume is called.
func (r *Router) Pause() error {
	return errors.Trace(r.process.Signal(syscall.SIGSTOP))
}

// Resume continues the process of a paused router.
func (r *Router) Resume() error {
	return errors.Trace(r.process.Signal(syscall.SIGCONT))
}
