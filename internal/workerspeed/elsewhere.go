package workerspeed

import "time"

// maxExcusedFactor is the speed factor up to which a worker that is known to be slow counts as healthy:
// its runs take that much longer than elsewhere without counting against its health. A third of the
// workers of a deployment was 2.4 times slower than the others, and taking those out of use would lose
// capacity. Workers that are slower than that are avoided for a while, as if they were faulty.
const maxExcusedFactor = 2.5

// slowWorkerExcess is how many times longer than usual, beyond what the factor of its worker explains, a
// run on a slow worker must take to count as a long task. The factor of a worker that has turned slow is
// too low at first.
const slowWorkerExcess = 2.5

// Elsewhere estimates how long a task takes on a typical worker, of which a run is projected to take some
// time in total. usual is how long such tasks usually take. A slow run of a queue in which some tasks
// are long counts as a long task, unless its worker is suspect. Of other queues it counts as a run on a
// slow worker.
func (m *Model) Elsewhere(t Task, projected, usual time.Duration) time.Duration {
	factor := m.Factor(t.Worker, t.Kind)
	typical := time.Duration(float64(projected) / factor)
	excess := 1.0
	if factor > 1 {
		excess = slowWorkerExcess
	}
	if typical > time.Duration(excess*float64(usual)) && m.HasLongTasks(t.Queue) && !m.Suspect(t.Worker) {
		return typical
	}
	return usual
}

// Abandoned records that a run was stopped because it was slow. Such runs would not be counted as long
// otherwise, as they never end.
func (m *Model) Abandoned(t Task, projected time.Duration) {
	q := m.queue(t.Queue)
	typical := time.Duration(float64(projected) / m.Factor(t.Worker, t.Kind))
	if q.isLong(logOf(typical), t.Estimate) && !m.Suspect(t.Worker) {
		q.addLong()
	}
}

// Excused returns how long a run of a task that usually takes some time may take on a worker as far as its
// known speed explains it.
func (m *Model) Excused(worker, kind string, usual time.Duration) time.Duration {
	factor := clamp(m.Factor(worker, kind), 1, maxExcusedFactor)
	return time.Duration(float64(usual) * factor)
}
