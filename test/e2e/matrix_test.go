package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	standplatform "gentianstand/internal/standin/platform"
	standworker "gentianstand/internal/standin/worker"
)

// disruption is a temporary failure of a cluster, in most cases of one of its instances.
type disruption struct {
	name string
	// inject starts the failure, with victim as the affected instance; end ends it.
	inject, end func(s *cluster, victim *node)
}

var disruptions = []disruption{
	{"Kill", func(_ *cluster, v *node) { v.kill() }, func(s *cluster, v *node) { s.restart(v) }},
	{"Freeze",
		func(s *cluster, v *node) { v.signal(syscall.SIGSTOP); s.awaitTakenOver(v) },
		func(_ *cluster, v *node) { v.signal(syscall.SIGCONT) }},
	{"Cut",
		func(s *cluster, v *node) { s.fault(standplatform.Fault{Cut: []string{v.id}}); s.awaitTakenOver(v) },
		func(s *cluster, _ *node) { s.fault(standplatform.Fault{}) }},
	{"Outage",
		func(s *cluster, _ *node) { s.fault(standplatform.Fault{TableDown: true}); time.Sleep(6 * time.Second) },
		func(s *cluster, _ *node) { s.fault(standplatform.Fault{}) }},
	{"LostAnswers", func(s *cluster, _ *node) { s.fault(standplatform.Fault{LoseAnswers: 8}) }, func(*cluster, *node) {}},
	{"LaggingList",
		func(s *cluster, v *node) { s.fault(standplatform.Fault{FreezeList: true}); s.restart(v) },
		func(s *cluster, _ *node) { s.fault(standplatform.Fault{}) }},
	{"AllRestarted",
		func(s *cluster, _ *node) {
			for _, inst := range s.instances {
				s.restart(inst)
			}
		},
		func(*cluster, *node) {}},
	{"KillInOutage",
		func(s *cluster, v *node) {
			s.fault(standplatform.Fault{TableDown: true})
			time.Sleep(4 * time.Second)
			v.kill()
		},
		func(s *cluster, v *node) { s.restart(v); s.fault(standplatform.Fault{}) }},
}

// awaitTakenOver waits until other instances own all shards of the victim.
func (s *cluster) awaitTakenOver(victim *node) {
	s.t.Helper()
	s.await("takeover", func() error {
		st, err := s.status(s.others(victim)[0])
		if err != nil {
			return err
		}
		for _, shard := range st.Shards {
			if shard.Owner.Instance == victim.id {
				return fmt.Errorf("%s still owns %s", victim.id, shard.Name)
			}
		}
		return nil
	})
}

// ownerOf returns the instance that owns the shard of a rack.
func (s *cluster) ownerOf(rack string) *node {
	s.t.Helper()
	var found *node
	s.await("owner of "+rack, func() error {
		st, err := s.status(s.instances[0])
		if err != nil {
			return err
		}
		for _, shard := range st.Shards {
			for _, inst := range s.instances {
				if shard.Name == rack && shard.Owner.Instance == inst.id {
					found = inst
					return nil
				}
			}
		}
		return fmt.Errorf("no owner")
	})
	return found
}

// Guards against new work on a drained worker after a failure.
func TestDrainHolds(t *testing.T) {
	for _, tr := range disruptions {
		t.Run(tr.name, func(t *testing.T) {
			s := newLoadedCluster(t)
			target := s.workers[0]
			if out, err := s.run(s.instances[0], "", "drain", "-id", target.id); err != nil {
				t.Fatalf("drain: %v %s", err, out)
			}
			s.await("worker is empty", func() error { return s.checkWorkerEmpty(target) })
			quiet := time.Now()
			victim := s.ownerOf("rack-0")
			tr.inject(s, victim)
			witness := s.others(victim)[0]
			for i := range 20 {
				s.awaitAnswered(witness, fmt.Sprintf("casedesk/%d", i))
			}
			tr.end(s, victim)
			s.awaitState(witness, "letters", "succeeded")
			s.awaitAnswered(victim, "casedesk/after")
			for _, e := range s.checkRecord() {
				if e.Worker == target.id && e.At.After(quiet) && (e.Type == standworker.TaskStarted || e.Type == standworker.RequestRan) {
					t.Errorf("after the drain: %+v", e)
				}
			}
		})
	}
}

// Guards against an instance that returns to an earlier configuration after a failure.
func TestConfigurationHolds(t *testing.T) {
	for _, tr := range disruptions {
		t.Run(tr.name, func(t *testing.T) {
			s := newLoadedCluster(t)
			s.apply(s.instances[0], strings.Replace(serviceText, "tasks: 60", "tasks: 6", 1))
			s.awaitConfig(2)
			victim := s.planner(s.instances[0])
			tr.inject(s, victim)
			s.neverBelow(2)
			tr.end(s, victim)
			s.awaitConfig(2)
			s.awaitState(s.others(victim)[0], "letters", "succeeded")
			s.checkRecord()
		})
	}
}

func (s *cluster) awaitConfig(want uint64) {
	s.t.Helper()
	s.await("configuration everywhere", func() error {
		for _, inst := range s.instances {
			st, err := s.status(inst)
			if err != nil {
				return err
			}
			if st.Config != want {
				return fmt.Errorf("%s has configuration %d", inst.id, st.Config)
			}
		}
		return nil
	})
}

// neverBelow fails the test if a ready instance uses a configuration before want. Instances
// that have just started have none yet and are skipped.
func (s *cluster) neverBelow(want uint64) {
	s.t.Helper()
	for range 20 {
		for _, inst := range s.instances {
			client := http.Client{Timeout: 200 * time.Millisecond}
			resp, err := client.Get("http://" + inst.address + "/readyz")
			if err != nil || resp.StatusCode != http.StatusOK {
				continue
			}
			if n := s.metric(inst, "gentianstand_config_number"); n != 0 && n < int(want) {
				s.t.Errorf("%s uses configuration %d", inst.id, n)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against executing a keyed request twice, and against reporting that it did not run
// although it did, after a failure.
func TestKeysHold(t *testing.T) {
	const keys = 8
	for _, tr := range disruptions {
		t.Run(tr.name, func(t *testing.T) {
			s := newLoadedCluster(t)
			victim := s.others(s.planner(s.instances[0]))[0]
			s.awaitKeyedRequests(victim)
			for k := range keys {
				go func() {
					_, _ = s.request(victim, http.MethodPost, "casedesk/order?work=3s", fmt.Sprintf("k%d", k))
				}()
			}
			s.await("all requests executing", func() error { return s.keysArrived(keys) })
			tr.inject(s, victim)
			tr.end(s, victim)
			for k := range keys {
				s.retryKeyed(s.others(victim)[k%2], fmt.Sprintf("k%d", k))
			}
			events := s.checkRecord()
			for k := range keys {
				if n := ranWith(events, fmt.Sprintf("k%d", k)); n != 1 {
					t.Errorf("k%d ran %d times", k, n)
				}
			}
		})
	}
}

func (s *cluster) keysArrived(keys int) error {
	events := s.events()
	for k := range keys {
		if ranWith(events, fmt.Sprintf("k%d", k)) == 0 {
			return fmt.Errorf("k%d has not arrived", k)
		}
	}
	return nil
}

// awaitKeyedRequests waits until an instance can serve requests with keys of various shards.
func (s *cluster) awaitKeyedRequests(inst *node) {
	s.t.Helper()
	for k := range 12 {
		s.await("keyed requests", func() error {
			a, err := s.request(inst, http.MethodPost, "casedesk/warm", fmt.Sprintf("warm%d", k))
			if err == nil && a.status != http.StatusOK {
				err = fmt.Errorf("%+v", a)
			}
			return err
		})
	}
}

// retryKeyed repeats a keyed request that has been executed until the key's owning shard
// answers. The answer must be the replayed response or say that the request has run, is in
// progress or has an unknown outcome, never that it did not run.
func (s *cluster) retryKeyed(inst *node, key string) {
	s.t.Helper()
	s.await("answer for "+key, func() error {
		a, err := s.request(inst, http.MethodPost, "casedesk/order?work=3s", key)
		if err != nil {
			return err
		}
		switch a.kind {
		case "outcome_unknown", "key_in_progress", "already_ran":
			return nil
		case "":
			if a.header.Get("Idempotency-Replayed") == "true" {
				return nil
			}
		}
		return fmt.Errorf("%s: %+v", key, a)
	})
}

// Guards against a graceful stop that aborts requests in progress because of another failure at
// the same time.
func TestStopHolds(t *testing.T) {
	for _, tr := range disruptions {
		if tr.name == "AllRestarted" {
			continue // would restart the instance that is to stop
		}
		t.Run(tr.name, func(t *testing.T) {
			s := newLoadedCluster(t)
			leaving := s.instances[1]
			other := s.others(leaving)[0]
			done := make(chan error, 4)
			for range 4 {
				go func() {
					a, err := s.request(leaving, http.MethodGet, "casedesk/slow?work=12s", "")
					if err == nil && a.status != http.StatusOK {
						err = fmt.Errorf("%+v", a)
					}
					done <- err
				}()
			}
			s.await("slow requests in progress", func() error {
				if n := s.metric(leaving, "gentianstand_requests_in_progress"); n < 4 {
					return fmt.Errorf("%d", n)
				}
				return nil
			})
			tr.inject(s, other)
			code := leaving.stop()
			for range 4 {
				if err := <-done; err != nil {
					t.Errorf("request in progress: %v", err)
				}
			}
			if code != 0 {
				t.Errorf("exit code %d", code)
			}
			tr.end(s, other)
			s.checkRecord()
		})
	}
}
