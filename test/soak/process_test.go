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
	// peer is the proxy through which the other instances reach this one, store the one through which
	// this one reaches the store.
	peer     *standin.Proxy
	store    *standin.Proxy
	settings string
	binary   string
	log      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// lost is set while the machine of the process is lost.
	lost bool
	// done is closed when the process has ended.
	done chan struct{}
}

func newProcess(t *testing.T, binary, dir string, index int, ip string, store *standin.Proxy, adviser string) *process {
	t.Helper()
	name := fmt.Sprintf("node-%d", index)
	path := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf(settingsText, name, ip, index%2, store.Address(), adviser, revokeMillis)
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
	return &process{name: name, ip: ip, peer: peer, store: store, settings: path, binary: binary, log: log}
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

// lose makes the process like one whose machine is lost: it does nothing more, and nobody sees an end of
// its connections. It is not killed, as that would end those that it has opened itself.
func (p *process) lose() {
	p.setLost(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // it may have ended by itself
}

func (p *process) setLost(lost bool) {
	p.peer.Vanish(lost)
	p.store.Vanish(lost)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = lost
}

func (p *process) isLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// signal sends a signal to the process that start has started. A lost process can only be killed.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost && s != syscall.SIGKILL {
		return
	}
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
