package e2e

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	standworker "gentianstand/internal/standin/worker"
)

// Guards against a graceful stop that aborts requests in progress or leaves workers without an
// owner for some time.
func TestGracefulStop(t *testing.T) {
	s := newLoadedCluster(t)
	leaving := s.instances[1]
	done := make(chan error, 4)
	for range 4 {
		go func() {
			a, err := s.request(leaving, http.MethodGet, "casedesk/slow?work=3s", "")
			if err == nil && a.status != http.StatusOK {
				err = fmt.Errorf("%+v", a)
			}
			done <- err
		}()
	}
	time.Sleep(300 * time.Millisecond)
	tr := s.sendTraffic(s.others(leaving), 2)
	if code := leaving.stop(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	for range 4 {
		if err := <-done; err != nil {
			t.Errorf("request in progress: %v", err)
		}
	}
	ok, _, broken := tr.stop(s)
	if ok == 0 || broken > 0 {
		t.Errorf("%d answered, %d broken meanwhile", ok, broken)
	}
	s.awaitRunning(s.instances[0], "watch", 3)
	s.checkRecord()
}

// Guards against a graceful stop with exit code 1 beside a connection that has carried no request.
func TestGracefulStopBesideAnUnusedConnection(t *testing.T) {
	s := newLoadedCluster(t)
	conn, err := net.Dial("tcp", s.instances[1].address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if code := s.instances[1].stop(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// Guards against new work on a drained worker.
func TestDrainedWorker(t *testing.T) {
	s := newLoadedCluster(t)
	target := s.workers[0]
	if out, err := s.run(s.instances[0], "", "drain", "-id", target.id); err != nil {
		t.Fatalf("drain: %v %s", err, out)
	}
	s.await("worker is empty", func() error {
		return s.checkWorkerEmpty(target)
	})
	quiet := time.Now()
	s.awaitRunning(s.instances[0], "casedesk", 6)
	s.awaitState(s.instances[0], "letters", "succeeded")
	for _, inst := range s.instances {
		s.awaitAnswered(inst, "casedesk/drained")
	}
	for _, e := range s.checkRecord() {
		if e.Worker == target.id && e.At.After(quiet) && e.Type != standworker.RefusedEpoch {
			t.Errorf("after the drain: %+v", e)
		}
	}
}

// checkWorkerEmpty returns an error if the record shows running tasks on a worker.
func (s *cluster) checkWorkerEmpty(w *node) error {
	running := 0
	for _, e := range s.events() {
		if e.Worker != w.id {
			continue
		}
		switch e.Type {
		case standworker.TaskStarted:
			running++
		case standworker.TaskEnded:
			running--
		}
	}
	if running > 0 {
		return fmt.Errorf("%d tasks run on %s", running, w.id)
	}
	return nil
}
