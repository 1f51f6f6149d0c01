package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gentianstand/platform/standin"
)

const settingsText = `node_name = "%[1]s"
ip = "%[2]s"
zone = "zone-%[3]d"
region = "region"
internal_ports = [7720,7735]
advice = "%[5]s"
contracts = ["tenants"]
[listen]
frontend = "%[2]s:8161"
ready = "%[2]s:8167"
[limits]
memory_mb = 284
[bounds]
hold_max_ms = 6000
stop_grace_ms = 900
grace_s = 6
far_x = 3
early_ms = 250
strict_revoke = true
revoke_ms = %[6]d
[platform]
address = "%[4]s"
`

// process is one instance of the system. It is restarted under the same name.
type process struct {
	name string
	ip   string
	// peer is the proxy through which the other instances reach this one.
	peer     *standin.Proxy
	settings string
	binary   string
	log      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

func newProcess(t *testing.T, binary, dir string, index int, ip, store, adviser string) *process {
	t.Helper()
	name := fmt.Sprintf("node-%d", index)
	path := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf(settingsText, name, ip, index%2, store, adviser, revokeMillis)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	peer, err := standin.NewProxy("127.0.0.1:0", ip+":7720")
	if err != nil {
		t.Fatal(err)
	}
	return &process{name: name, ip: ip, peer: peer, settings: path, binary: binary, log: log}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.binary, "instance", "-settings-file", p.settings, "-peer-advertise", p.peer.Address())
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		defer close(done)
		_ = cmd.Wait() // the exit status is irrelevant here
	}()
	return nil
}

// signal sends a signal to the process that start has started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended by itself
	}
}

// wait waits for the end of the process.
func (p *process) wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// end kills the process, also when it is paused, and waits for it.
func (p *process) end() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ready reports whether the process reports itself as ready.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.ip + ":8167/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
