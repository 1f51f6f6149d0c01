package planner_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gentianstand/internal/resource"
	"gentianstand/internal/spec"
)

// mixUser describes the workers and the load of one example user, as far as
// they are specified.
type mixUser struct {
	name     string
	workers  int
	perRack  int
	capacity resource.Amount
	// urgent and gangs are the shares of urgent runs and of gangs.
	urgent, gangs float64
	// night is the share of the load that is a batch due in the morning.
	night float64
	// load is the offered load as a share of the cores. During the noon peak, a
	// fifth of the time, it is 50% higher.
	load float64
}

var mixUsers = []mixUser{
	{"lankadesa", 50, 8, resource.Amount{MilliCPU: 16_000, MemoryMiB: 32 << 10}, 0.10, 0.05, 0.30, 0.85},
	{"jaatelolinkki", 50, 6, resource.Amount{MilliCPU: 32_000, MemoryMiB: 64 << 10}, 0.05, 0.10, 0, 0.95},
}

// mixKinds is the number of different workloads in a stream, mixLength its
// duration.
const (
	mixKinds  = 24
	mixLength = 2 * time.Hour
	mixTick   = time.Second
	// mixTimeLimit is the time limit after which the simulation stops.
	mixTimeLimit = 3 * mixLength
)

// mixJob is one run of the stream.
type mixJob struct {
	at       time.Duration
	workload int
	tasks    []time.Duration
}

// mixStream is a set of workloads and runs drawn from a seed.
type mixStream struct {
	workloads []spec.Workload
	jobs      []mixJob
}

func drawStream(u mixUser, seed uint64) mixStream {
	r := rand.New(rand.NewPCG(seed, 99))
	s := mixStream{}
	for k := range mixKinds {
		s.workloads = append(s.workloads, drawWorkload(u, r, k))
	}
	cores := float64(u.workers) * float64(u.capacity.MilliCPU) / 1000
	for at := time.Duration(0); at < mixLength; {
		k := r.IntN(mixKinds)
		job := drawJob(r, s.workloads[k], k, at)
		s.jobs = append(s.jobs, job)
		rate := u.load * cores
		if at > mixLength/2 && at < mixLength*7/10 {
			rate *= 1.5
		}
		at += time.Duration(jobWork(s.workloads[k], job) / rate * float64(time.Second))
	}
	return s
}

// drawWorkload draws a size and a declared run time, which may be far from the
// actual run times.
func drawWorkload(u mixUser, r *rand.Rand, k int) spec.Workload {
	size := int64(1)
	for size < 16 && r.IntN(2) == 0 {
		size *= 2
	}
	w := spec.Workload{
		Name: fmt.Sprintf("k%02d", k), Kind: spec.Batch, Team: fmt.Sprintf("team%d", k%6), Tasks: 1 + r.IntN(12),
		Need:    resource.Amount{MilliCPU: size * 500, MemoryMiB: size * int64(512+r.IntN(3)*512)},
		Urgency: spec.Normal, Spread: spec.SpreadNone, Start: spec.StartOnSubmit, Idempotent: true,
		RunTime: time.Duration(float64(30*time.Second) * math.Exp(r.NormFloat64())),
	}
	switch x := (float64(k*7%mixKinds) + 0.5) / mixKinds; {
	case x < u.urgent:
		w.Urgency, w.Tasks = spec.Urgent, 1
	case x < u.urgent+u.gangs:
		w.Kind, w.Tasks = spec.Job, 4+r.IntN(13)
	case x < u.urgent+u.gangs+u.night:
		w.Urgency, w.Deadline = spec.Low, mixLength
	}
	return w
}

// drawJob draws actual run times. Their mean differs from the declared one by a
// factor of up to 3, and they have a heavy tail.
func drawJob(r *rand.Rand, w spec.Workload, k int, at time.Duration) mixJob {
	job := mixJob{at: at, workload: k}
	off := math.Pow(3, float64(k%5-2)/2)
	for range w.Tasks {
		tail := math.Exp(r.NormFloat64()*0.8 - 0.32)
		job.tasks = append(job.tasks, max(time.Second, time.Duration(float64(w.RunTime)*off*tail)))
	}
	return job
}

// jobWork returns the core-seconds of a run.
func jobWork(w spec.Workload, job mixJob) float64 {
	sum := 0.0
	for _, d := range job.tasks {
		sum += d.Seconds()
	}
	return sum * float64(w.Need.MilliCPU) / 1000
}
