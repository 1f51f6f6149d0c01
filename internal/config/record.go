// Package config stores the texts of the configuration that operators have applied, numbered in
// one sequence, and holds the one in force at this instance.
package config

import "time"

// Record is one accepted version of the configuration.
type Record struct {
	// Number increases by 1 with each accepted text.
	Number uint64    `json:"number"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Digest string    `json:"digest"`
	Text   string    `json:"text"`
}
