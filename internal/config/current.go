package config

import (
	"sync"

	"gentianstand/internal/spec"
)

// Current holds the configuration in force at this instance. It only advances to higher numbers:
// a delayed read, an outdated peer or a lost response cannot restore an older text. It is safe for
// concurrent use.
type Current struct {
	mu       sync.Mutex
	record   Record
	text     *spec.Text
	watchers []func(Record, *spec.Text)
}

// NewCurrent returns a Current that holds an empty text with number 0.
func NewCurrent() *Current { return &Current{text: &spec.Text{}} }

// Get returns the record and the text in force. Callers must not modify the text.
func (c *Current) Get() (Record, *spec.Text) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record, c.text
}

// Number returns the number of the configuration in force.
func (c *Current) Number() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record.Number
}

// Watch registers f, which is called in order with each text that comes into force from now on.
func (c *Current) Watch(f func(Record, *spec.Text)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchers = append(c.watchers, f)
}

// Install puts rec into force if its number is higher than the one in force. It returns an error
// if the record's text does not match its digest or cannot be parsed.
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
