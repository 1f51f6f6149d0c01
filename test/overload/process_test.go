package overload

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// process is a program that a test has started.
type process struct {
	t     *testing.T
	cmd   *exec.Cmd
	ended chan struct{}
}

// startProcess starts a command and kills it at the end of the test. Its log is shown if the test fails.
func startProcess(t *testing.T, cmd *exec.Cmd) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, cmd: cmd, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		_ = cmd.Wait() // the exit status is irrelevant here
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended by itself
		<-p.ended
		if t.Failed() {
			p.logTail(log.Name())
		}
		_ = log.Close()
	})
	return p
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// checkAlive fails the test if the process has ended.
func (p *process) checkAlive() {
	p.t.Helper()
	select {
	case <-p.ended:
		p.t.Errorf("the process has ended: %v", p.cmd.ProcessState)
	default:
	}
}

// logTail shows the end of the process's log.
func (p *process) logTail(path string) {
	const most = 4000
	data, err := os.ReadFile(path)
	if err != nil {
		p.t.Log(err)
		return
	}
	p.t.Logf("end of the log of %s:\n%s", filepath.Base(p.cmd.Path), data[max(0, len(data)-most):])
}
