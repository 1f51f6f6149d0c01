package overload

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gentianstand/platform/standin"
)

// The limits of the instance's machine, and the crowd that comes at once.
const (
	machineMemoryMB    = 96
	machineDescriptors = 400
	crowdSize          = 400
	// maxBodyBytes is the limit of the operator's configuration.
	maxBodyBytes = 262144
)

const (
	callersHost = "desk.example"
	// waitTimeout limits every wait. It is far longer than any expected wait, so that a slow machine does
	// not change the result of a test.
	waitTimeout = 60 * time.Second
)

const settingsText = `node_name = "node-0"
ip = "%[1]s"
zone = "zone-0"
region = "region"
internal_ports = [7720,7735]
[listen]
frontend = "%[1]s:8161"
ready = "%[1]s:8167"
[limits]
memory_mb = %[3]d
max_fds = %[4]d
[bounds]
hold_max_ms = 6000
stop_grace_ms = 900
grace_s = 6
far_x = 3
early_ms = 250
[platform]
address = "%[2]s"
`

// address returns a loopback address of this test process that no other world has, nor any of the soak.
func address() string {
	return fmt.Sprintf("127.%d.%d.200", 64+os.Getpid()%128, worlds.Add(1)%250)
}

// world is one instance with a simulated store and worker.
type world struct {
	*process
	t     *testing.T
	ip    string
	usage *usageMonitor
}

// worlds numbers the worlds of this test process, so that each has its own address.
var worlds atomic.Int32

// newWorld starts the instance and waits until it is ready.
func newWorld(t *testing.T) *world {
	t.Helper()
	store := standin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	worker := standin.NewWorker("worker-0", 64000, standin.NewChecker(1))
	workerServer := httptest.NewServer(worker)
	t.Cleanup(func() {
		workerServer.CloseClientConnections()
		workerServer.Close()
	})
	store.Put("servers", worker.ID, map[string]any{"service": "desk", "address": workerServer.Listener.Addr().String(), "zone": "zone-0", "state": "ready",
		"capacity": map[string]int64{"cpu": worker.CPU, "mem_mb": 1 << 20, "gpu": 0}, "labels": []string{"a", "r1"}})
	store.Put("op", "config", map[string]any{"version": 1, "services": []any{}, "limits": map[string]int{"max_body_bytes": maxBodyBytes},
		"routes": []any{map[string]any{"name": "plain", "host": callersHost, "path_prefix": "/plain/", "type": "unsafe", "timeout_ms": 3000,
			"target_duration_ms": 60000, "service": "desk", "max_attempts": 3, "stretch": 100}}})
	w := &world{t: t, ip: address()}
	w.start(storeServer.Listener.Addr().String())
	w.usage = monitorUsage(w.pid(), w.callersAddress(), w.ip+":8167", w.ip+":7720", w.ip+":7735")
	w.waitFor("the instance is ready", func() bool {
		resp, err := http.Get("http://" + w.ip + ":8167/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return w
}

func (w *world) callersAddress() string { return net.JoinHostPort(w.ip, "8161") }

// start starts the process of the instance.
func (w *world) start(storeAddress string) {
	w.t.Helper()
	path := filepath.Join(w.t.TempDir(), "settings.toml")
	text := fmt.Sprintf(settingsText, w.ip, storeAddress, machineMemoryMB, machineDescriptors)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.process = startProcess(w.t, exec.Command(binary, "instance", "-settings-file", path))
}

func (w *world) waitFor(what string, ok func() bool) {
	w.t.Helper()
	waitFor(w.t, what, ok)
}

// waitFor waits until ok returns true, and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); time.Since(began) < waitTimeout; time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %v: %s", waitTimeout, what)
}

// finish checks that the process lives, and its peak usage.
func (w *world) finish() {
	w.t.Helper()
	w.checkAlive()
	w.usage.finish().check(w.t)
}

// serveOrdinary submits a small job as the protocol's callers do, which repeat it after a refusal or a
// broken connection, and waits until it has run.
func (w *world) serveOrdinary(id string) {
	w.t.Helper()
	const body = `{"spec":"10ms","steps":[{"count":1,"cpu":1,"mem_mb":1,"estimate_ms":10}]}`
	w.waitFor("an ordinary job is accepted", func() bool { return w.call(http.MethodPost, id, body).status == http.StatusOK })
	w.waitFor("an ordinary job is completed", func() bool { return w.call(http.MethodGet, id, "").state == "completed" })
}

// reply is the answer to a call, with status 0 if there was none.
type reply struct {
	status int
	state  string
}

// call makes one call about a job over a connection of its own. After a refusal it waits as long as the
// answer asks for.
func (w *world) call(method, id, body string) reply {
	req, err := http.NewRequest(method, "http://"+w.callersAddress()+"/plain/"+id, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = callersHost
	req.Close = true
	req.Header.Set("Deadline-Ms", "3000")
	client := http.Client{Timeout: waitTimeout / 4}
	resp, err := client.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body) // a broken answer has no state
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		time.Sleep(time.Duration(seconds) * time.Second)
	}
	_, state, _ := strings.Cut(string(data), `"state":"`)
	state, _, _ = strings.Cut(state, `"`)
	return reply{resp.StatusCode, state}
}

// checkAnswers checks that a job whose submission was refused is unknown, and that an accepted one is
// known.
func (w *world) checkAnswers(answers []answer) {
	w.t.Helper()
	for _, a := range answers {
		_, id, _ := strings.Cut(a.request.path, "/plain/")
		switch a.status {
		case http.StatusOK:
			w.expectState(id, http.StatusOK)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			w.expectState(id, http.StatusGone)
		}
	}
}

// expectState checks the status of the query for a job.
func (w *world) expectState(id string, want int) {
	w.t.Helper()
	var status int
	w.waitFor("the state of job "+id+" is known", func() bool {
		status = w.call(http.MethodGet, id, "").status
		return status == http.StatusOK || status == http.StatusGone
	})
	if status != want {
		w.t.Errorf("job %s: the query for its state is answered with %d, want %d", id, status, want)
	}
}
