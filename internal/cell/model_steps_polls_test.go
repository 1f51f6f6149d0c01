package cell

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"gentianstand/internal/runner"
)

// waitingPoll is a poll that a worker has accepted. The worker answers it when a run ends, even if it
// has accepted a poll of a later owner since.
type waitingPoll struct {
	owner  *modelOwner
	worker *modelWorker
	sentAt time.Time
	wait   time.Duration
}

// poll has an owner poll a worker, unless one of its polls is waiting there. The answer waits only if
// the worker has no ends to report.
func (m *stepsModel) poll(o *modelOwner, w *modelWorker) {
	if slices.ContainsFunc(m.waiting, func(p waitingPoll) bool { return p.owner == o && p.worker == w }) {
		return
	}
	target, poll, ok := o.cell.NextPoll(w.roster.ID, m.now)
	if !ok {
		return
	}
	report, err := runner.Report{}, runner.ErrNoAnswer
	if o != m.current() || !m.unreached[w.roster.ID] {
		report, err = w.poll(target.Incarnation, poll)
	}
	if err != nil {
		m.rt.Logf("%v term %d: poll of %s: %v", m.now.Sub(siteStart), o.cell.settings.Term, w.roster.ID, err)
		o.cell.PollFailed(w.roster.ID, err, m.now)
		return
	}
	accepted := waitingPoll{o, w, m.now, poll.Wait}
	if poll.Wait > 0 && len(report.Ended) == 0 && rapid.Bool().Draw(m.rt, "waits") {
		m.rt.Logf("%v term %d: poll of %s waits", m.now.Sub(siteStart), o.cell.settings.Term, w.roster.ID)
		m.waiting = append(m.waiting, accepted)
		return
	}
	m.now = m.now.Add(2 * time.Millisecond)
	m.answer(accepted)
}

// answerPolls has the workers answer the polls that wait no longer. Answers to an owner that must
// have stopped are dropped.
func (m *stepsModel) answerPolls() {
	waiting := m.waiting
	m.waiting = nil
	for _, p := range waiting {
		switch {
		case !m.mayAct(p.owner):
		case p.worker.alive && len(p.worker.ends) == 0 && m.now.Sub(p.sentAt) < p.wait:
			m.waiting = append(m.waiting, p)
		default:
			m.answer(p)
		}
	}
}

// mayAct reports whether an owner holds the claim or may not know yet that it was superseded.
func (m *stepsModel) mayAct(o *modelOwner) bool {
	if o == m.current() {
		return true
	}
	return o == m.owners[len(m.owners)-2] && !o.stopped && m.now.Before(m.current().previousEnd)
}

// answer has a worker answer a poll with its present state. The answer may be lost.
func (m *stepsModel) answer(p waitingPoll) {
	id := p.worker.roster.ID
	if p.worker.repliesLost || !p.worker.alive || rapid.IntRange(0, 7).Draw(m.rt, "answer lost") == 0 {
		m.rt.Logf("%v term %d: poll of %s is not answered", m.now.Sub(siteStart), p.owner.cell.settings.Term, id)
		p.owner.cell.PollFailed(id, runner.ErrNoAnswer, m.now)
		return
	}
	report, err := p.worker.poll(p.worker.roster.Incarnation, runner.Poll{Token: p.worker.token})
	m.rt.Logf("%v term %d: poll of %s, sent at %v, is answered: %v %v", m.now.Sub(siteStart), p.owner.cell.settings.Term, id, p.sentAt.Sub(siteStart), report, err)
	m.endsReported(p.owner, p.worker, len(report.Ended))
	p.owner.cell.Reported(id, report, p.sentAt, m.now)
	m.lookUpJobs(p.owner)
}

// lookUpJobs has the store answer the requests of an owner for jobs. A superseded owner gets none, as
// it finds that the claim has changed.
func (m *stepsModel) lookUpJobs(o *modelOwner) {
	if o != m.current() {
		return
	}
	for _, id := range o.cell.UnknownJobs() {
		m.lookUpJob(o, id)
	}
}
