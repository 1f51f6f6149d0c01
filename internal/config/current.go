package config

import (
	"sync"

	"gentianstand/internal/spec"
)

// Current is the configuration in force at this instance. It only ever moves
// to a higher number: a lagging read, an old peer or a lost answer cannot
// bring an earlier text back. It is safe for concurrent use.
type Current struct {
	mu       sync.Mutex
	record   Record
	text     *spec.Text
	watchers []func(Record, *spec.Text)
}

// NewCurrent returns a Current with an empty text of number 0.
func NewCurrent() *Current { return &Current{text: &spec.Text{}} }

// Get returns the record and text in force. The text must not be changed.
func (c *Current) Get() (Record, *spec.Text) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record, c.text
}

// Number returns the number in force.
func (c *Current) Number() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record.Number
}

// Watch calls f with each text that comes into force from now on, in order.
func (c *Current) Watch(f func(Record, *spec.Text)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchers = append(c.watchers, f)
}

// Install puts rec into force if its number is higher than the present one.
// It returns an error if the record's text cannot be read or is damaged.
func (c *Current) Install(rec Record) error {
	if rec.Number <= c.Number() {
		return nil
	}
	if Digest(rec.Text) != rec.Digest {
		return errDigestMismatch
	}
	text, err := spec.Parse(rec.Text)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec.Number <= c.record.Number {
		return nil
	}
	c.record, c.text = rec, text
	for _, watch := range c.watchers {
		watch(rec, text)
	}
	return nil
}
