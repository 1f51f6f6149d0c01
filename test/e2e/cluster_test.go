package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gentianstand/internal/entry"
	"gentianstand/internal/platform"
	standplatform "gentianstand/internal/standin/platform"
	standworker "gentianstand/internal/standin/worker"
)

// waitTimeout limits every wait. It is far longer than any expected wait, so that a slow
// machine does not change the result of a test.
const waitTimeout = 60 * time.Second

// cluster is a complete system of separate processes: a platform, workers and instances.
type cluster struct {
	t         testing.TB
	platform  *process
	address   string
	workers   []*node
	instances []*node
}

// node is the process of a worker or an instance.
type node struct {
	*process
	id      string
	address string
	args    []string
}

// newCluster starts a cluster and waits until its platform and instances are ready. Workers
// are distributed over racks of perRack workers.
func newCluster(t testing.TB, instances, workers, perRack int) *cluster {
	t.Helper()
	s := &cluster{t: t, address: freePort(t)}
	s.platform = start(t, "platform", "standin", "-kind", "platform", "-listen", s.address)
	s.await("platform", func() error { return s.getJSON(s.address, standplatform.PathCounts, &standplatform.Counts{}) })
	for n := range workers {
		s.addWorker(n, perRack)
	}
	for n := range instances {
		s.addInstance(n)
	}
	for _, inst := range s.instances {
		s.await(inst.id+" ready", func() error { return s.getJSON(inst.address, "/readyz", nil) })
	}
	return s
}

func (s *cluster) addWorker(n, perRack int) {
	id, address := fmt.Sprintf("worker-%d", n), freePort(s.t)
	args := []string{"-kind", "worker", "-id", id, "-listen", address}
	s.workers = append(s.workers, &node{process: start(s.t, id, "standin", args...), id: id, address: address, args: args})
	rack := n / perRack
	s.registerInstance(platform.Instance{
		ID: id, Role: platform.RoleWorker, Address: address, Region: "r", Zone: fmt.Sprintf("z%d", rack%3), Rack: fmt.Sprintf("rack-%d", rack),
	})
}

func (s *cluster) addInstance(n int) {
	id, address, peer := fmt.Sprintf("entry-%d", n), freePort(s.t), freePort(s.t)
	zone := fmt.Sprintf("z%d", n%3)
	args := []string{
		"serve", "-id", id, "-listen", address, "-peer-listen", peer, "-region", "r", "-zone", zone,
		"-platform", "http://" + s.address, "-platform-timeout", "500ms", "-stop-timeout", "20s",
	}
	s.instances = append(s.instances, &node{process: start(s.t, id, "gentianstand", args...), id: id, address: address, args: args})
	s.registerInstance(platform.Instance{ID: id, Role: platform.RoleEntry, Address: peer, Region: "r", Zone: zone})
}

// restart kills a node's process and starts a new one with the same arguments.
func (s *cluster) restart(n *node) {
	n.kill()
	n.process = start(s.t, n.id+"'", "gentianstand", n.args...)
}

func (s *cluster) registerInstance(inst platform.Instance) {
	s.post(s.address, standplatform.PathInstance, inst)
}

func (s *cluster) fault(f standplatform.Fault) { s.post(s.address, standplatform.PathFault, f) }

func (s *cluster) workerFault(n *node, f standworker.Fault) {
	s.post(n.address, standworker.PathFault, f)
}

func (s *cluster) post(address, path string, body any) {
	s.t.Helper()
	data, _ := json.Marshal(body)
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		s.t.Fatalf("post %s: %v", path, err)
	}
	_ = resp.Body.Close()
}

func (s *cluster) getJSON(address, path string, into any) error {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, data)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(data, into)
}

// run runs an operator's command against an instance and returns its output.
func (s *cluster) run(on *node, stdin string, args ...string) (string, error) {
	all := append([]string{args[0], "-server", on.address}, args[1:]...)
	cmd := exec.Command(filepath.Join(binaries, "gentianstand"), all...)
	cmd.Stdin = strings.NewReader(stdin)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func (s *cluster) apply(on *node, text string) {
	s.t.Helper()
	if out, err := s.run(on, text, "apply", "-by", "test"); err != nil {
		s.t.Fatalf("apply: %v\n%s", err, out)
	}
}

// logStatus logs the status that each instance reports.
func (s *cluster) logStatus() {
	for _, inst := range s.instances {
		var st json.RawMessage
		err := s.getJSON(inst.address, "/v1/status", &st)
		s.t.Logf("status of %s: %v %s", inst.id, err, st)
	}
}

// awaitOwned waits until every worker has been claimed by an owner.
func (s *cluster) awaitOwned() {
	s.t.Helper()
	s.await("all workers owned", func() error {
		owned := 0
		for _, inst := range s.instances {
			owned += s.metric(inst, "gentianstand_workers_owned")
		}
		if owned != len(s.workers) {
			return fmt.Errorf("%d of %d", owned, len(s.workers))
		}
		return nil
	})
}

// await retries f until it succeeds and fails the test after waitTimeout.
func (s *cluster) await(what string, f func() error) {
	s.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			s.logStatus()
			s.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// answer is the response to a service request.
type answer struct {
	status  int
	body    string
	kind    string
	outcome string
	retry   string
	header  http.Header
}

// request sends a request to a service through an instance, with an idempotency key unless key
// is empty.
func (s *cluster) request(on *node, method, path, key string) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+on.address+"/s/"+path, nil)
	if err != nil {
		return answer{}, err
	}
	if key != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, body: string(body), kind: resp.Header.Get(entry.HeaderErrorKind),
		outcome: resp.Header.Get(entry.HeaderOutcome), retry: resp.Header.Get("Retry-After"), header: resp.Header,
	}, err
}

// awaitAnswered repeats a GET request through an instance until it succeeds.
func (s *cluster) awaitAnswered(on *node, path string) {
	s.t.Helper()
	s.await("answer from "+on.id, func() error {
		a, err := s.request(on, http.MethodGet, path, "")
		if err != nil {
			return err
		}
		if a.status != http.StatusOK {
			return fmt.Errorf("%+v", a)
		}
		return nil
	})
}

// nextPort counts the ports handed out. They are below the kernel's range for outgoing
// connections, so that no connection occupies a port before its process listens on it. A port
// is probed by connecting, not by listening: a process that is being started at that moment
// would inherit the listener, keep it open for an instant and block the port.
var nextPort atomic.Int64

const (
	firstPort = 18_000
	lastPort  = 32_000
)

// freePort returns a local address with a port on which no process listens.
func freePort(t testing.TB) string {
	t.Helper()
	for {
		port := firstPort + (int64(os.Getpid())*97+nextPort.Add(1))%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return address
		}
		_ = conn.Close()
	}
}
