// Package config keeps the configuration: the texts that operators applied,
// in one order of numbers, and the one in force at this instance.
package config

import "time"

// Record is one accepted text.
type Record struct {
	// Number grows by one with each accepted text.
	Number uint64    `json:"number"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Digest string    `json:"digest"`
	Text   string    `json:"text"`
}
