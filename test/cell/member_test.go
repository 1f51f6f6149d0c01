package cell

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/config"
	"gentianstand/internal/live"
	"gentianstand/internal/membership"
	"gentianstand/internal/owner"
	"gentianstand/internal/ownership"
	"gentianstand/internal/planner"
	"gentianstand/internal/platform"
	"gentianstand/internal/routing"
	"gentianstand/internal/worker"
)

// member is one process of an instance.
type member struct {
	cell    *cell
	process live.Process
	link    *link
	session *membership.Session
	elector *membership.Elector
	keeper  *ownership.Keeper
	owner   *owner.Owner
	planner *planner.Planner
	quit    context.CancelFunc
	loops   sync.WaitGroup
	current *config.Current
}

func (c *cell) newMember(n int) *member {
	c.incarnations++
	id := fmt.Sprintf("entry-%d", n)
	m := &member{
		cell: c, process: live.Process{Instance: id, Incarnation: fmt.Sprint(c.incarnations)},
		link: newLink(c.seed + uint64(c.incarnations)), current: c.current,
	}
	log := logrus.New()
	log.SetOutput(c.log)
	log.SetLevel(logrus.DebugLevel)
	entry := log.WithField("member", m.process.String())
	timing := membership.DefaultTiming()
	tbl := table{link: m.link, faulty: c.faulty.ForClient(id)}
	others := peers{cell: c, me: m}
	set := metrics.NewSet()
	m.session = membership.NewSession(timing, time.Now())
	m.elector = membership.NewElector(timing, m.session)
	router := routing.NewRouter()
	dial := func(address string) worker.Agent {
		return agent{link: m.link, id: address, worker: c.workers[address]}
	}
	m.owner = owner.New(id, timing, m.session, dial, router, others, set, entry)
	around := planner.Environment{
		View:      func() live.View { return m.keeper.View() },
		Directory: func() []platform.Instance { return c.directory() }, Config: m.current,
	}
	m.planner = planner.New(tbl, tbl, others, m.session, around, set, entry)
	identity := ownership.Identity{Process: m.process, Region: "r", Zone: fmt.Sprintf("z%d", n%3)}
	m.keeper = ownership.NewKeeper(identity, timing, tbl, others, m.session, c.places, m, entry)
	return m
}

func (m *member) start() {
	ctx, quit := context.WithCancel(context.Background())
	m.quit = quit
	m.owner.SetDirectory(m.cell.directory())
	m.loops.Go(func() { m.owner.Run(ctx) })
	m.loops.Go(func() { m.keeper.Run(ctx) })
}

// kill ends the process. Messages that it has not sent yet are dropped.
func (m *member) kill() {
	m.link.kill()
	m.quit()
	m.loops.Wait()
	m.owner.SetHeld(nil)
	m.planner.SetShard(nil)
}

// ViewRead implements ownership.Listener.
func (m *member) ViewRead(view live.View) { m.owner.SetDrains(view.Drains) }

// HeldChanged implements ownership.Listener.
func (m *member) HeldChanged(held []ownership.HeldShard) {
	var planning *live.Shard
	for _, h := range held {
		if h.Shard.Name == live.PlannerShard && h.HandedOverAt.IsZero() {
			planning = &h.Shard
		}
	}
	m.owner.SetHeld(held)
	m.planner.SetShard(planning)
}

// SessionLost implements ownership.Listener.
func (m *member) SessionLost() { m.HeldChanged(nil) }
