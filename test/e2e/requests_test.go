package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	standplatform "gentianstand/internal/standin/platform"
	standworker "gentianstand/internal/standin/worker"
)

// ranWith returns the number of executed requests with an idempotency key.
func ranWith(events []standworker.Event, key string) int {
	n := 0
	for _, e := range events {
		if e.Type == standworker.RequestRan && e.Key == key {
			n++
		}
	}
	return n
}

// Guards against executing a request with an idempotency key twice when it is sent concurrently
// and repeatedly through several instances.
func TestKeyRunsOnce(t *testing.T) {
	s := newLoadedCluster(t)
	var wg sync.WaitGroup
	for round := range 3 {
		for _, inst := range s.instances {
			wg.Go(func() { s.sendKeyed(inst, "order-1", round) })
		}
		if round > 0 {
			wg.Wait()
		}
	}
	wg.Wait()
	s.await("late repeat gets the first answer", func() error {
		a, err := s.request(s.instances[2], http.MethodPost, "casedesk/order?work=50ms", "order-1")
		if err == nil && a.header.Get("Idempotency-Replayed") != "true" {
			err = fmt.Errorf("%+v", a)
		}
		return err
	})
	if n := ranWith(s.checkRecord(), "order-1"); n != 1 {
		t.Errorf("the request ran %d times", n)
	}
}

// sendKeyed sends a keyed request and fails the test unless the answer is the upstream's or says
// that the key is in progress or that the request did not run.
func (s *cluster) sendKeyed(inst *node, key string, round int) {
	a, err := s.request(inst, http.MethodPost, "casedesk/order?work=50ms", key)
	if err != nil || (a.status != http.StatusOK && a.kind != "key_in_progress" && a.outcome != "did_not_run") {
		s.t.Errorf("round %d: %+v %v", round, a, err)
	}
}

// Guards against executing a keyed request twice, and against reporting that it did not run,
// after the instance with the key's owning shard was killed.
func TestKeyWhoseOwnerDied(t *testing.T) { testKeyWhoseOwnerDied(t, standplatform.Fault{}) }

// TestKeyWhoseOwnerDiedInOutage checks the same during an outage of the table, in which the keys
// are kept in the object store.
func TestKeyWhoseOwnerDiedInOutage(t *testing.T) {
	testKeyWhoseOwnerDied(t, standplatform.Fault{TableDown: true})
}

func testKeyWhoseOwnerDied(t *testing.T, fault standplatform.Fault) {
	s := newLoadedCluster(t)
	victim := s.others(s.planner(s.instances[0]))[0]
	rest := s.others(victim)
	s.awaitKeyedRequests(victim)
	s.fault(fault)
	if fault.TableDown {
		time.Sleep(4 * time.Second)
	}
	const keys = 12
	for k := range keys {
		go func() { _, _ = s.request(victim, http.MethodPost, "casedesk/order?work=20s", fmt.Sprintf("k%d", k)) }()
	}
	s.await("all requests executing", func() error {
		events := s.events()
		for k := range keys {
			if ranWith(events, fmt.Sprintf("k%d", k)) == 0 {
				return fmt.Errorf("k%d has not arrived", k)
			}
		}
		return nil
	})
	victim.kill()
	s.fault(standplatform.Fault{})
	for k := range keys {
		key := fmt.Sprintf("k%d", k)
		s.await("answer for "+key, func() error {
			a, err := s.request(rest[k%2], http.MethodPost, "casedesk/order?work=20s", key)
			if err != nil {
				return err
			}
			if a.kind != "outcome_unknown" && a.kind != "key_in_progress" && a.kind != "already_ran" {
				return fmt.Errorf("%s: %+v", key, a)
			}
			return nil
		})
	}
	events := s.events()
	for k := range keys {
		if n := ranWith(events, fmt.Sprintf("k%d", k)); n != 1 {
			t.Errorf("k%d ran %d times", k, n)
		}
	}
}

// Guards against refusing keyed requests while the table is down although the object store can
// keep their keys.
func TestKeysInOutage(t *testing.T) {
	s := newLoadedCluster(t)
	s.awaitKeyedRequests(s.instances[0]) // a shard that was taken over must have loaded its keys before the outage
	s.fault(standplatform.Fault{TableDown: true})
	for k := range 6 {
		key := fmt.Sprintf("k%d", k)
		s.await("request with key "+key, func() error {
			a, err := s.request(s.instances[k%3], http.MethodPost, "casedesk/order", key)
			if err == nil && a.status != http.StatusOK {
				err = fmt.Errorf("%+v", a)
			}
			return err
		})
	}
	s.fault(standplatform.Fault{TableDown: true, ObjectsDown: true})
	a, err := s.request(s.instances[0], http.MethodPost, "casedesk/order", "k-none")
	if err != nil || a.kind != "platform_unavailable" || a.outcome != "did_not_run" || a.retry == "" {
		t.Errorf("with table and object store down: %+v %v", a, err)
	}
	if n := ranWith(s.checkRecord(), "k-none"); n != 0 {
		t.Errorf("a request that was answered did_not_run ran %d times", n)
	}
}

// Guards against requests that hang on an unresponsive connection to a healthy worker.
func TestUnresponsiveConnections(t *testing.T) {
	s := newLoadedCluster(t)
	tr := s.sendTraffic(s.instances, 4)
	s.await("traffic", func() error {
		if ok, _, _ := tr.count(); ok < 100 {
			return fmt.Errorf("%d answered", ok)
		}
		return nil
	})
	for _, w := range s.workers {
		s.workerFault(w, standworker.Fault{SilenceConnections: true})
	}
	started := time.Now()
	slow := make(chan error, 1)
	go func() {
		a, err := s.request(s.instances[0], http.MethodGet, "casedesk/slow?work=8s", "")
		if err == nil && a.status != http.StatusOK {
			err = fmt.Errorf("%+v", a)
		}
		slow <- err
	}()
	a, err := s.request(s.instances[1], http.MethodPost, "casedesk/once", "")
	if err != nil || (a.status != http.StatusOK && a.outcome != "did_not_run") {
		t.Errorf("request on an unresponsive connection: %+v %v", a, err)
	}
	if took := time.Since(started); took > 25*time.Second {
		t.Errorf("detected after %s, close to the deadline", took)
	}
	if err := <-slow; err != nil {
		t.Errorf("slow request: %v", err)
	}
	ok, refused, broken := tr.stop(s)
	if ok < 100 || refused > 0 || broken > 0 {
		t.Errorf("%d answered, %d refused, %d broken", ok, refused, broken)
	}
	s.checkRecord()
}

// Guards against a change of one operator that silently overwrites a concurrent one.
func TestRacingOperators(t *testing.T) {
	s := newLoadedCluster(t)
	results := make([]string, 2)
	failed := make([]bool, 2)
	var wg sync.WaitGroup
	for i, replicas := range []string{"replicas: 4", "replicas: 5"} {
		wg.Go(func() {
			changed := strings.Replace(serviceText, "replicas: 6", replicas, 1)
			out, err := s.run(s.instances[i], changed, "apply", "-base", "1", "-by", fmt.Sprintf("operator-%d", i))
			results[i], failed[i] = out, err != nil
		})
	}
	wg.Wait()
	if failed[0] == failed[1] {
		t.Fatalf("want exactly 1 accepted change: %q %q", results[0], results[1])
	}
	loser, winner := 0, 1
	if failed[1] {
		loser, winner = 1, 0
	}
	for _, want := range []string{"conflict", fmt.Sprintf("operator-%d", winner), fmt.Sprintf("operator-%d", loser), "replicas: 4", "replicas: 5"} {
		if !strings.Contains(results[loser], want) {
			t.Errorf("output of the refused change lacks %q: %s", want, results[loser])
		}
	}
	s.await("configuration on all instances", func() error {
		for _, inst := range s.instances {
			if st, err := s.status(inst); err != nil || st.Config != 2 {
				return fmt.Errorf("%s: %d %v", inst.id, st.Config, err)
			}
		}
		return nil
	})
	out, err := s.run(s.instances[2], "", "audit")
	if err != nil || !strings.Contains(out, "conflict") || strings.Count(out, "accepted") != 2 {
		t.Errorf("audit: %v\n%s", err, out)
	}
}

// Guards against an instance that restarts during an outage of the table with an outdated
// configuration or none.
func TestConfigurationSurvivesOutage(t *testing.T) {
	s := newLoadedCluster(t)
	s.fault(standplatform.Fault{TableDown: true})
	replaced := s.others(s.planner(s.instances[0]))[0]
	s.restart(replaced)
	s.awaitAnswered(replaced, "casedesk/new")
	st, err := s.status(replaced)
	if err != nil || st.Config != 1 {
		t.Errorf("configuration %d, %v", st.Config, err)
	}
	s.fault(standplatform.Fault{})
	s.awaitRunning(s.instances[0], "watch", 3)
	s.checkRecord()
}
