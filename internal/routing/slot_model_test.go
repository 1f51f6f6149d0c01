package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// slotModel counts slots in one flat list of requests in progress.
type slotModel struct {
	slots    map[string]int
	services map[string][]string
	open     map[string]bool
	requests map[string]string
}

func (s *slotModel) inUse(worker string) int {
	n := 0
	for _, w := range s.requests {
		if w == worker {
			n++
		}
	}
	return n
}

func (s *slotModel) free(service string) int {
	n := 0
	for worker, services := range s.services {
		for _, name := range services {
			if name == service && s.open[worker] && s.inUse(worker) < s.slots[worker] {
				n += s.slots[worker] - s.inUse(worker)
			}
		}
	}
	return n
}

// TestDifferentialSlots: whatever comes and goes, a slot is given exactly when
// the flat list has one free, on an open worker with a replica, and never more
// than a worker has.
func TestDifferentialSlots(t *testing.T) {
	workers := []string{"w0", "w1", "w2"}
	services := []string{"a", "b"}
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		r := NewRouter()
		naive := &slotModel{slots: map[string]int{}, services: map[string][]string{}, open: map[string]bool{}, requests: map[string]string{}}
		grants := map[string]*Grant{}
		rt.Repeat(map[string]func(*rapid.T){
			"set": func(rt *rapid.T) {
				id := rapid.SampledFrom(workers).Draw(rt, "worker")
				info := WorkerInfo{ID: id, Slots: rapid.IntRange(0, 4).Draw(rt, "slots"), Open: rapid.Bool().Draw(rt, "open")}
				for _, name := range services {
					if rapid.Bool().Draw(rt, "serves_"+name) {
						info.Services = append(info.Services, name)
					}
				}
				r.SetWorker(info, now)
				naive.slots[id], naive.services[id], naive.open[id] = info.Slots, info.Services, info.Open
			},
			"acquire": func(rt *rapid.T) {
				service := rapid.SampledFrom(services).Draw(rt, "service")
				id := rapid.StringMatching(`[a-z]{12}`).Draw(rt, "id")
				free := naive.free(service)
				g := r.TryAcquire(rt.Context(), service, Request{ID: id, Deadline: now.Add(time.Second)}, now)
				if (g != nil) != (free > 0) {
					rt.Fatalf("granted %v, the list has %d free", g != nil, free)
				}
				if g != nil {
					grants[id], naive.requests[id] = g, g.Worker
					if naive.inUse(g.Worker) > naive.slots[g.Worker] || !naive.open[g.Worker] {
						rt.Fatalf("worker %s is oversold or closed", g.Worker)
					}
				}
			},
			"done": func(rt *rapid.T) {
				for id, g := range grants {
					g.Done(rapid.SampledFrom([]Result{Answered, Abandoned}).Draw(rt, "result"), now)
					g.Done(Answered, now)
					delete(grants, id)
					delete(naive.requests, id)
					break
				}
			},
			"": func(rt *rapid.T) {
				for _, name := range services {
					if got, want := r.Slots()[name].Free, naive.free(name); got != want {
						rt.Fatalf("service %s: %d free, the list has %d", name, got, want)
					}
				}
			},
		})
	})
}
