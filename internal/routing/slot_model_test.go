package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// slotModel counts slots with a flat list of the requests in progress.
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

// TestDifferentialSlots checks the Router against slotModel: a slot is granted exactly when the
// model has one free, on an open worker with a replica of the service, and never beyond a
// worker's slots.
func TestDifferentialSlots(t *testing.T) {
	workers := []string{"w0", "w1", "w2"}
	services := []string{"a", "b"}
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		r := NewRouter()
		model := &slotModel{slots: map[string]int{}, services: map[string][]string{}, open: map[string]bool{}, requests: map[string]string{}}
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
				model.slots[id], model.services[id], model.open[id] = info.Slots, info.Services, info.Open
			},
			"acquire": func(rt *rapid.T) {
				service := rapid.SampledFrom(services).Draw(rt, "service")
				id := rapid.StringMatching(`[a-z]{12}`).Draw(rt, "id")
				free := model.free(service)
				g := r.TryAcquire(rt.Context(), service, Request{ID: id, Deadline: now.Add(time.Second)}, now)
				if (g != nil) != (free > 0) {
					rt.Fatalf("granted %v, the model has %d free", g != nil, free)
				}
				if g != nil {
					grants[id], model.requests[id] = g, g.Worker
					if model.inUse(g.Worker) > model.slots[g.Worker] || !model.open[g.Worker] {
						rt.Fatalf("worker %s is overcommitted or closed", g.Worker)
					}
				}
			},
			"done": func(rt *rapid.T) {
				for id, g := range grants {
					g.Done(rapid.SampledFrom([]Result{Answered, Abandoned}).Draw(rt, "result"), now)
					g.Done(Answered, now)
					delete(grants, id)
					delete(model.requests, id)
					break
				}
			},
			"": func(rt *rapid.T) {
				for _, name := range services {
					if got, want := r.Slots()[name].Free, model.free(name); got != want {
						rt.Fatalf("service %s: %d free, the model has %d", name, got, want)
					}
				}
			},
		})
	})
}
