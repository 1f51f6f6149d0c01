package admission

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/jobmemory"
)

// wideJob returns a long-running job of many tasks.
func wideJob() *job.Record {
	return &job.Record{Service: "desk", Steps: []job.Step{{Count: job.MaxTasks, LongRunning: true}}}
}

// Guards against jobs that the owner has no memory for, of the kinds that no backlog refuses, too.
func TestJobsBeyondTheMemoryOfTheOwnerAreRefused(t *testing.T) {
	now := time.Now()
	bytes := jobmemory.Of(wideJob())
	for _, test := range []struct {
		name string
		jobs jobmemory.Usage
		// accepted is how many jobs are accepted before one is refused.
		accepted int
	}{
		{"room for one", jobmemory.Usage{Bytes: 2 * bytes, Limit: 6 * bytes}, 1},
		{"room for three", jobmemory.Usage{Bytes: bytes, Limit: 7 * bytes}, 3},
		{"full", jobmemory.Usage{Bytes: 6 * bytes, Limit: 6 * bytes}, 0},
		{"more than full", jobmemory.Usage{Bytes: 7 * bytes, Limit: 6 * bytes}, 0},
	} {
		var c Controller
		c.Update(View{Jobs: test.jobs}, now)
		accepted := 0
		v := c.Judge(wideJob(), now)
		for ; !v.Refuse; v = c.Judge(wideJob(), now) {
			c.Settle(v, true, now)
			accepted++
		}
		if accepted != test.accepted || !v.NoMemory {
			t.Errorf("%s: %d accepted, then %+v; want %d", test.name, accepted, v, test.accepted)
		}
		if after := c.Refused(wideJob(), v, now); after < minRetryAfter {
			t.Errorf("%s: retry after %v", test.name, after)
		}
		later := now.Add(learnedAfter + 1)
		c.Update(View{Jobs: jobmemory.Usage{Limit: 6 * bytes}}, later)
		if v := c.Judge(wideJob(), later); v.Refuse {
			t.Errorf("%s: refused although the owner has memory again", test.name)
		}
	}
}

// Guards against an instance that accepts without a limit while it does not know what the owner holds.
func TestJobsWithoutAViewAreLimited(t *testing.T) {
	now := time.Now()
	var c Controller
	c.LimitMemory(6 * jobmemory.Of(wideJob()))
	accepted := 0
	for v := c.Judge(wideJob(), now); !v.Refuse; v = c.Judge(wideJob(), now) {
		c.Settle(v, true, now)
		accepted++
	}
	if accepted != 3 {
		t.Errorf("%d jobs were accepted, want 3", accepted)
	}
	if c.Judge(wideJob(), now.Add(forgottenAfter+learnedAfter+1)).Refuse {
		t.Error("refused for jobs that were admitted long ago")
	}
}

// Guards against jobs that count for nothing while they are being stored: the view of an owner that does
// not know them yet replaces the account of the instance.
func TestJobsThatAreBeingStoredCount(t *testing.T) {
	now := time.Now()
	view := View{Jobs: jobmemory.Usage{Bytes: 1, Limit: 5 * jobmemory.Of(wideJob())}}
	var c Controller
	c.Update(view, now)
	first := c.Judge(wideJob(), now)
	later := now.Add(time.Minute)
	c.Update(view, later)
	if first.Refuse || !c.Judge(wideJob(), later).Refuse {
		t.Error("a second job is accepted while the first one is being stored")
	}
	c.Settle(first, true, later)
	c.Update(view, later)
	if !c.Judge(wideJob(), later).Refuse {
		t.Error("a second job is accepted before the owner has learned of the first one")
	}
	c.Settle(c.Judge(&job.Record{}, later), false, later)
	later = later.Add(learnedAfter + 1)
	c.Update(view, later)
	if v := c.Judge(wideJob(), later); v.Refuse {
		t.Errorf("refused after the owner has learned of the job: %+v", v)
	}
}
