package cell

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"gentianstand/internal/config"
	"gentianstand/internal/live"
	"gentianstand/internal/ownership"
	"gentianstand/internal/platform"
	"gentianstand/internal/resource"
	"gentianstand/internal/run"
	standplatform "gentianstand/internal/standin/platform"
	standworker "gentianstand/internal/standin/worker"
)

// The size of a cell.
const (
	members = 3
	workers = 4
)

// text is a configuration with work of every kind: tasks of once must not be repeated, tasks of
// gang start together.
const text = `version: 1
teams:
  - name: wards
    quota: {cpu: 16, memory: 32GiB}
services:
  - name: casedesk
    team: wards
    replicas: 2
    resources: {cpu: 1, memory: 512MiB}
batches:
  - name: letters
    team: wards
    tasks: 24
    resources: {cpu: 1, memory: 1GiB}
    command: [sleep, 6s]
    retries: 5
  - name: once
    team: wards
    tasks: 12
    resources: {cpu: 1, memory: 512MiB}
    command: [sleep, 4s]
    idempotent: false
jobs:
  - name: gang
    team: wards
    tasks: 4
    resources: {cpu: 1, memory: 1GiB}
    command: [sleep, 5s]
`

// cell is a whole system that runs on fakes.
type cell struct {
	seed         uint64
	log          io.Writer
	store        *standplatform.Store
	faulty       *standplatform.FaultyStore
	record       *standworker.Record
	workers      map[string]*standworker.Worker
	current      *config.Current
	incarnations int

	mu      sync.Mutex
	members []*member
}

func newCell(seed uint64, log io.Writer) *cell {
	c := &cell{seed: seed, log: log, store: standplatform.NewStore(), record: &standworker.Record{}, workers: map[string]*standworker.Worker{}, current: config.NewCurrent()}
	c.faulty = standplatform.NewFaultyStore(c.store)
	for n := range workers {
		id := fmt.Sprintf("worker-%d", n)
		cfg := standworker.Config{ID: id, Slots: 8, Work: time.Second, Capacity: resource.Amount{MilliCPU: 6000, MemoryMiB: 16 << 10}}
		c.workers[id] = standworker.New(cfg, c.record, time.Now)
		c.store.SetInstance(platform.Instance{ID: id, Role: platform.RoleWorker, Address: id, Region: "r", Zone: fmt.Sprintf("z%d", n/2), Rack: rackOf(n)})
	}
	_ = c.current.Install(config.Record{Number: 1, Author: "test", Digest: config.Digest(text), Text: text})
	for n := range members {
		c.members = append(c.members, c.newMember(n))
	}
	for _, m := range c.members {
		m.start()
	}
	return c
}

func (c *cell) directory() []platform.Instance {
	list, _ := c.store.Instances(context.Background())
	return list
}

func (c *cell) places() []ownership.ShardLocation {
	places := []ownership.ShardLocation{{Name: live.PlannerShard}}
	for n := 0; n < workers; n += 2 {
		places = append(places, ownership.ShardLocation{Name: rackOf(n), Region: "r", Zone: fmt.Sprintf("z%d", n/2)})
	}
	return places
}

func (c *cell) member(instance string) *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m != nil && m.process.Instance == instance {
			return m
		}
	}
	return nil
}

// kill ends a member's process, which may be replaced later.
func (c *cell) kill(n int) {
	c.mu.Lock()
	m := c.members[n]
	c.members[n] = nil
	c.mu.Unlock()
	if m != nil {
		m.kill()
	}
}

// replace starts a new process in a member's place.
func (c *cell) replace(n int) {
	c.kill(n)
	m := c.newMember(n)
	c.mu.Lock()
	c.members[n] = m
	c.mu.Unlock()
	m.start()
}

// each calls f for every running member.
func (c *cell) each(f func(n int, m *member)) {
	c.mu.Lock()
	list := append([]*member(nil), c.members...)
	c.mu.Unlock()
	for n, m := range list {
		if m != nil {
			f(n, m)
		}
	}
}

// endFaults ends all faults and replaces the members that have ended.
func (c *cell) endFaults() {
	c.faulty.SetFault(standplatform.Fault{})
	for _, w := range c.workers {
		w.SetFault(standworker.Fault{})
	}
	for n := range members {
		if c.members[n] == nil {
			c.replace(n)
		}
	}
	c.each(func(_ int, m *member) { m.link.restore() })
}

func (c *cell) stop() {
	for n := range members {
		c.kill(n)
	}
	// Wait for delayed messages to arrive, so that no goroutine is left.
	time.Sleep(10 * time.Second)
}

// runs reads the runs from the table, by the names of their workloads.
func (c *cell) runs() (map[string]*run.Run, error) {
	rows, err := c.store.Scan(context.Background(), run.Prefix, "", 10_000)
	if err != nil {
		return nil, err
	}
	list, err := run.Parse(rows)
	byName := map[string]*run.Run{}
	for _, r := range list {
		byName[r.Workload.Name] = r
	}
	return byName, err
}
