package cellowner

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"gentianstand/internal/cell"
	"gentianstand/internal/preemption"
)

// Metrics holds the counters, gauges and histograms of owning a cell.
type Metrics struct {
	Starts          *metrics.Counter
	StartErrors     *metrics.Counter
	StartRepeats    *metrics.Counter
	Polls           *metrics.Counter
	PollErrors      *metrics.Counter
	Commits         *metrics.Counter
	CommitErrors    *metrics.Counter
	AdviceErrors    *metrics.Counter
	StartSeconds    *metrics.Histogram
	CommitSeconds   *metrics.Histogram
	AdviceSeconds   *metrics.Histogram
	PlanSeconds     *metrics.Histogram
	TakeOverSeconds *metrics.Histogram
	// TicketsGot, TicketsUsed, TicketsExpired and TicketsRefused count the adviser's tickets, and
	// TicketStarts the starts with one.
	TicketsGot, TicketsUsed, TicketsExpired, TicketsRefused, TicketStarts *metrics.Counter
	// AdviceCalls counts the calls to the adviser.
	AdviceCalls *metrics.Counter
	// IdleCoreSeconds is the time for which processors were free while tasks waited.
	IdleCoreSeconds *metrics.FloatCounter
	// UrgentWaitSeconds and WaitSeconds record how long tasks of the most urgent queues, and of
	// the others, waited for their first start.
	UrgentWaitSeconds *metrics.Histogram
	WaitSeconds       *metrics.Histogram
	// HeldBackSeconds records how long stages were held back after a takeover because a previous
	// owner may have started them.
	HeldBackSeconds *metrics.Histogram
	// Preemptions and PreemptionLost are the runs stopped for urgent tasks in this ownership, and the
	// processor-seconds that this was expected to lose. PreemptionsRefused are the searches for such
	// runs that ended without any, by reason.
	Preemptions        *metrics.Counter
	PreemptionLost     *metrics.FloatCounter
	PreemptionsRefused map[preemption.Refusal]*metrics.Counter
	// FreeShare, WaitingTasks and JobBytes are the values of the last summary.
	FreeShare    *metrics.Gauge
	JobBytes     *metrics.Gauge
	WaitingTasks *metrics.Gauge
	// SlowWorkers and FastWorkers count the workers that are known to differ from the typical one.
	SlowWorkers *metrics.Gauge
	FastWorkers *metrics.Gauge
	// SlackStarts, LittleSlackStarts and FasterWaits are the counts of the current ownership as
	// of the last summary; see cell.Stats.
	SlackStarts       *metrics.Counter
	LittleSlackStarts *metrics.Counter
	FasterWaits       *metrics.Counter
	// ImpossibleTasks counts the waiting tasks that no known worker may or can run.
	ImpossibleTasks *metrics.Gauge
	// RejectedRows counts the jobs and chunks of known workers that the store does not take.
	RejectedRows *metrics.Gauge
	// LongRunningTasksDown counts the long-running tasks that have been down for long.
	LongRunningTasksDown *metrics.Gauge
	// QuotaWaitingTasks counts the waiting tasks that the quota of their workspace holds back.
	QuotaWaitingTasks *metrics.Gauge
	// JobsUpdateAge and WorkersUpdateAge are the times, in seconds, since updates of the jobs and
	// the workers were last read.
	JobsUpdateAge    *metrics.Gauge
	WorkersUpdateAge *metrics.Gauge
}

// NewMetrics registers the metrics in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		Starts:          set.NewCounter("gentianstand_cell_starts_total"),
		StartRepeats:    set.NewCounter("gentianstand_cell_start_repeats_total"),
		StartErrors:     set.NewCounter("gentianstand_cell_start_errors_total"),
		Polls:           set.NewCounter("gentianstand_cell_looks_total"),
		PollErrors:      set.NewCounter("gentianstand_cell_look_errors_total"),
		Commits:         set.NewCounter("gentianstand_cell_commits_total"),
		CommitErrors:    set.NewCounter("gentianstand_cell_commit_errors_total"),
		AdviceErrors:    set.NewCounter("gentianstand_cell_advice_errors_total"),
		StartSeconds:    set.NewHistogram("gentianstand_cell_start_seconds"),
		CommitSeconds:   set.NewHistogram("gentianstand_cell_commit_seconds"),
		AdviceSeconds:   set.NewHistogram("gentianstand_cell_advice_seconds"),
		PlanSeconds:     set.NewHistogram("gentianstand_cell_plan_seconds"),
		TakeOverSeconds: set.NewHistogram("gentianstand_cell_take_over_seconds"),

		TicketsGot:      set.NewCounter(`gentianstand_cell_tickets_total{event="got"}`),
		TicketsUsed:     set.NewCounter(`gentianstand_cell_tickets_total{event="used"}`),
		TicketsExpired:  set.NewCounter(`gentianstand_cell_tickets_total{event="expired"}`),
		TicketsRefused:  set.NewCounter(`gentianstand_cell_tickets_total{event="refused"}`),
		TicketStarts:    set.NewCounter("gentianstand_cell_ticket_starts_total"),
		AdviceCalls:     set.NewCounter("gentianstand_cell_advice_calls_total"),
		IdleCoreSeconds: set.NewFloatCounter("gentianstand_cell_idle_core_seconds_total"),

		UrgentWaitSeconds:    set.NewHistogram(`gentianstand_cell_wait_seconds{urgent="true"}`),
		WaitSeconds:          set.NewHistogram(`gentianstand_cell_wait_seconds{urgent="false"}`),
		HeldBackSeconds:      set.NewHistogram("gentianstand_cell_held_back_seconds"),
		Preemptions:          set.NewCounter("gentianstand_cell_preemptions_total"),
		PreemptionLost:       set.NewFloatCounter("gentianstand_cell_preemption_lost_core_seconds_total"),
		PreemptionsRefused:   newRefusalCounters(set),
		FreeShare:            set.NewGauge("gentianstand_cell_free_share", nil),
		JobBytes:             set.NewGauge("gentianstand_cell_job_bytes", nil),
		WaitingTasks:         set.NewGauge("gentianstand_cell_waiting_tasks", nil),
		SlowWorkers:          set.NewGauge(`gentianstand_cell_uneven_workers{speed="slow"}`, nil),
		FastWorkers:          set.NewGauge(`gentianstand_cell_uneven_workers{speed="fast"}`, nil),
		SlackStarts:          set.NewCounter(`gentianstand_cell_slack_starts_total{slack="enough"}`),
		LittleSlackStarts:    set.NewCounter(`gentianstand_cell_slack_starts_total{slack="little"}`),
		FasterWaits:          set.NewCounter("gentianstand_cell_faster_waits_total"),
		ImpossibleTasks:      set.NewGauge("gentianstand_cell_impossible_tasks", nil),
		RejectedRows:         set.NewGauge("gentianstand_cell_rejected_rows", nil),
		LongRunningTasksDown: set.NewGauge("gentianstand_cell_lasting_tasks_away", nil),
		QuotaWaitingTasks:    set.NewGauge("gentianstand_cell_quota_waiting_tasks", nil),
		JobsUpdateAge:        set.NewGauge(`gentianstand_cell_news_age_seconds{of="jobs"}`, nil),
		WorkersUpdateAge:     set.NewGauge(`gentianstand_cell_news_age_seconds{of="workers"}`, nil),
	}
}

func newRefusalCounters(set *metrics.Set) map[preemption.Refusal]*metrics.Counter {
	counters := map[preemption.Refusal]*metrics.Counter{}
	for _, why := range preemption.Refusals {
		counters[why] = set.NewCounter(fmt.Sprintf("gentianstand_cell_preemptions_refused_total{why=%q}", string(why)))
	}
	return counters
}

// setPreemptions sets the counters of preemptions to those of this ownership.
func (m *Metrics) setPreemptions(s cell.Stats) {
	m.Preemptions.Set(s.Preemptions)
	m.PreemptionLost.Set(s.PreemptionLost)
	for why, counter := range m.PreemptionsRefused {
		counter.Set(s.PreemptionsRefused[why])
	}
}
