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

// ranWith counts how often a request with the key was executed.
func ranWith(events []standworker.Event, key string) int {
	n := 0
	for _, e := range events {
		if e.Type == standworker.RequestRan && e.Key == key {
			n++
		}
	}
	return n
}

// Failure: an order is placed twice.
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
	s.await("a late repeat gets the first answer", func() error {
		a, err := s.request(s.instances[2], http.MethodPost, "casedesk/order?work=50ms", "order-1")
		if err == nil && a.header.Get("Idempotency-Replayed") != "true" {
			err = fmt.Errorf("%+v", a)
		}
		return err
	})
	if n := ranWith(s.checkRecord(), "order-1"); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// sendKeyed sends a keyed request and demands an answer that is an
// upstream's own, or says that the key is in progress or did not run.
func (s *cluster) sendKeyed(inst *node, key string, round int) {
	a, err := s.request(inst, http.MethodPost, "casedesk/order?work=50ms", key)
	if err != nil || (a.status != http.StatusOK && a.kind != "key_in_progress" && a.outcome != "did_not_run") {
		s.t.Errorf("round %d: %+v %v", round, a, err)
	}
}

// Failure: an order is placed twice, or its repeat is told that it did not run.
func TestKeyWhoseOwnerDied(t *testing.T) { testKeyWhoseOwnerDied(t, standplatform.Fault{}) }

// TestKeyWhoseOwnerDiedInOutage is the same while the table is down: the keys
// are in the object store then.
func TestKeyWhoseOwnerDiedInOutage(t *testing.T) {
	testKeyWhoseOwnerDied(t, standplatform.Fault{TableDown: true})
}

func testKeyWhoseOwnerDied(t *testing.T, fault standplatform.Fault) {
	s := newLoadedCluster(t)
	victim := s.others(s.planner(s.instances[0]))[0]
	rest := s.others(victim)
	s.awaitKeyedRequests(victim)
	s.setFault(fault)
	if fault.TableDown {
		time.Sleep(4 * time.Second)
	}
	const keys = 12
	for k := range keys {
		go func() { _, _ = s.request(victim, http.MethodPost, "casedesk/order?work=20s", fmt.Sprintf("k%d", k)) }()
	}
	s.await("all orders let go", func() error {
		events := s.events()
		for k := range keys {
			if ranWith(events, fmt.Sprintf("k%d", k)) == 0 {
				return fmt.Errorf("k%d has not arrived", k)
			}
		}
		return nil
	})
	victim.kill()
	s.setFault(standplatform.Fault{})
	for k := range keys {
		key := fmt.Sprintf("k%d", k)
		s.await("honest answer for "+key, func() error {
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

// Failure: orders cannot be placed while the table is down.
func TestKeysInOutage(t *testing.T) {
	s := newLoadedCluster(t)
	s.awaitKeyedRequests(s.instances[0]) // a home that was taken over must have read its keys before
	s.setFault(standplatform.Fault{TableDown: true})
	for k := range 6 {
		key := fmt.Sprintf("k%d", k)
		s.await("order "+key, func() error {
			a, err := s.request(s.instances[k%3], http.MethodPost, "casedesk/order", key)
			if err == nil && a.status != http.StatusOK {
				err = fmt.Errorf("%+v", a)
			}
			return err
		})
	}
	s.setFault(standplatform.Fault{TableDown: true, ObjectsDown: true})
	a, err := s.request(s.instances[0], http.MethodPost, "casedesk/order", "k-none")
	if err != nil || a.kind != "platform_unavailable" || a.outcome != "did_not_run" || a.retry == "" {
		t.Errorf("with nowhere to keep the key: %+v %v", a, err)
	}
	if n := ranWith(s.checkRecord(), "k-none"); n != 0 {
		t.Errorf("a request that was answered did_not_run ran %d times", n)
	}
}

// Failure: requests hang although the worker is well.
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
		s.setWorkerFault(w, standworker.Fault{SilenceConnections: true})
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
		t.Errorf("a request on a silent connection: %+v %v", a, err)
	}
	if took := time.Since(started); took > 25*time.Second {
		t.Errorf("noticed after %s, close to the deadline", took)
	}
	if err := <-slow; err != nil {
		t.Errorf("the slow request: %v", err)
	}
	ok, refused, broken := tr.stop(s)
	if ok < 100 || refused > 0 || broken > 0 {
		t.Errorf("%d answered, %d refused, %d broken", ok, refused, broken)
	}
	s.checkRecord()
}

// Failure: one operator's change overwrites another's unseen.
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
		t.Fatalf("not exactly one winner: %q %q", results[0], results[1])
	}
	loser, winner := 0, 1
	if failed[1] {
		loser, winner = 1, 0
	}
	for _, want := range []string{"conflict", fmt.Sprintf("operator-%d", winner), fmt.Sprintf("operator-%d", loser), "replicas: 4", "replicas: 5"} {
		if !strings.Contains(results[loser], want) {
			t.Errorf("the loser was not told %q: %s", want, results[loser])
		}
	}
	s.await("in force everywhere", func() error {
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

// Failure: an instance comes back with an old text or none.
func TestConfigurationSurvivesOutage(t *testing.T) {
	s := newLoadedCluster(t)
	s.setFault(standplatform.Fault{TableDown: true})
	replaced := s.others(s.planner(s.instances[0]))[0]
	s.restart(replaced)
	s.awaitAnswered(replaced, "casedesk/new")
	st, err := s.status(replaced)
	if err != nil || st.Config != 1 {
		t.Errorf("configuration %d, %v", st.Config, err)
	}
	s.setFault(standplatform.Fault{})
	s.awaitRunning(s.instances[0], "watch", 3)
	s.checkRecord()
}
