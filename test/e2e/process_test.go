package e2e

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// process is a program started by a test.
type process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	log  lockedBuffer
	once sync.Once
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// start starts a program and kills it at the end of the test. It logs the program's output if
// the test fails.
func start(t testing.TB, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(binaries, binary), args...)}
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, tail(p.log.String()))
		}
	})
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process, also if it is stopped, and waits for its end.
func (p *process) kill() {
	p.once.Do(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
}

// stop requests a graceful stop and returns the exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	p.once.Do(func() { _ = p.cmd.Wait() })
	return p.cmd.ProcessState.ExitCode()
}

// tail returns the end of a log without the lines about refused requests, which the callers'
// answers show already.
func tail(s string) string {
	const most = 8000
	var kept strings.Builder
	for line := range strings.Lines(s) {
		if !strings.Contains(line, "msg=request_refused") {
			kept.WriteString(line)
		}
	}
	s = kept.String()
	if len(s) > most {
		return s[len(s)-most:]
	}
	return s
}
