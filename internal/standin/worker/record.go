package worker

import (
	"sync"
	"time"
)

// Record holds the events of all workers that share it: each start and end of a task and each
// executed request. Tests check the scheduler's guarantees against it (see Violations).
type Record struct {
	mu     sync.Mutex
	events []Event
}

// Event is an entry of a Record.
type Event struct {
	At     time.Time `json:"at"`
	Worker string    `json:"worker"`
	Type   EventType `json:"type"`
	// Task is run/index of a task. Key is the idempotency key of a request.
	Task    string `json:"task,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	Key     string `json:"key,omitempty"`
	Request string `json:"request,omitempty"`
}

// EventType is the type of an Event.
type EventType string

// The types of events.
const (
	TaskStarted  EventType = "task_started"
	TaskEnded    EventType = "task_ended"
	RequestRan   EventType = "request_ran"
	OverCapacity EventType = "over_capacity"
	OverSlots    EventType = "over_slots"
	LeaseExpired EventType = "lease_lapsed"
	RefusedEpoch EventType = "refused_epoch"
)

// Add appends an event.
func (r *Record) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// Events returns a copy of all events so far.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}
