package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"gentianstand/internal/audit"
	"gentianstand/internal/fault"
	"gentianstand/internal/live"
	"gentianstand/internal/platform"
)

// Store reads and writes configurations in the table.
type Store struct {
	table platform.Table
	trail *audit.Trail
}

// NewStore returns a store in table. Each accepted change adds an entry to the audit trail.
func NewStore(table platform.Table, trail *audit.Trail) *Store {
	return &Store{table: table, trail: trail}
}

// Head returns the head of the configuration in the table. Its number is 0 if the table has none.
func (s *Store) Head(ctx context.Context) (live.ConfigHead, error) {
	row, err := s.table.Get(ctx, live.ConfigKey)
	if err != nil {
		return live.ConfigHead{}, unavailable(err)
	}
	head := live.ConfigHead{Version: row.Version}
	if row.Version == 0 {
		return head, nil
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, fmt.Errorf("configuration head: %w", err)
	}
	return head, nil
}

// Load returns the record with the given number.
func (s *Store) Load(ctx context.Context, number uint64) (Record, error) {
	var rec Record
	row, err := s.table.Get(ctx, recordKey(number))
	if err != nil {
		return rec, unavailable(err)
	}
	if row.Version == 0 {
		return rec, fmt.Errorf("configuration %d has no row", number)
	}
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return rec, fmt.Errorf("configuration %d: %w", number, err)
	}
	return rec, nil
}

// Apply makes text the next configuration if base is still in force. If another change was
// accepted first, the error is a Conflict that names both authors and contains the difference.
//
// The new head, the record and the audit entry are written in one transaction. A record is never
// overwritten, so Settle can distinguish a lost response from a conflict.
func (s *Store) Apply(ctx context.Context, text, author string, base uint64) (Record, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return Record{}, err
	}
	if head.Number != base {
		return Record{}, s.conflict(ctx, head.Number, base, author, text)
	}
	rec := Record{Number: base + 1, Author: author, At: time.Now().UTC(), Digest: Digest(text), Text: text}
	tx, err := s.transaction(rec, head)
	if err != nil {
		return Record{}, err
	}
	err = platform.CommitWithRetry(ctx, s.table, tx)
	switch {
	case err == nil:
		return rec, nil
	case errors.Is(err, platform.ErrConflict):
		return Record{}, s.conflict(ctx, 0, base, author, text)
	default:
		doubt := fault.New(fault.PlatformUnavailable, "the table did not say whether configuration %d was accepted; look at it before you try again", rec.Number)
		return Record{}, doubt.WithOutcome(fault.MayHaveRun)
	}
}

func (s *Store) transaction(rec Record, head live.ConfigHead) (platform.Tx, error) {
	headValue, err := json.Marshal(live.ConfigHead{Number: rec.Number, Author: rec.Author, Digest: rec.Digest})
	if err != nil {
		return platform.Tx{}, err
	}
	recValue, err := json.Marshal(rec)
	if err != nil {
		return platform.Tx{}, err
	}
	entry := audit.Entry{
		At: rec.At, By: rec.Author, Action: audit.Apply, Subject: "configuration",
		From: head.Number, To: rec.Number, Outcome: audit.Accepted, Detail: "digest " + rec.Digest[:12],
	}
	return platform.Tx{
		ID:     uuid.NewString(),
		Checks: []platform.Check{{Key: live.ConfigKey, Version: head.Version}, {Key: recordKey(rec.Number)}},
		Puts: []platform.Put{
			{Key: recordKey(rec.Number), Value: recValue},
			{Key: live.ConfigKey, Value: headValue},
			s.trail.Put(entry),
		},
	}, nil
}

func (s *Store) conflict(ctx context.Context, now, base uint64, author, text string) error {
	if now == 0 {
		head, err := s.Head(ctx)
		if err != nil {
			return err
		}
		now = head.Number
	}
	winner, err := s.Load(ctx, now)
	if err != nil {
		return fault.New(fault.Conflict, "configuration %d is in force, not %d", now, base)
	}
	return fault.New(fault.Conflict,
		"%s applied configuration %d at %s before the change of %s to %d was accepted; difference from theirs to yours:\n%s",
		winner.Author, winner.Number, winner.At.Format(time.RFC3339), author, base, Diff(winner.Text, text))
}

// Digest returns the SHA-256 digest of a text in hexadecimal.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func recordKey(number uint64) string { return fmt.Sprintf("config/%010d", number) }

func unavailable(err error) error {
	return fault.New(fault.PlatformUnavailable, "the table service does not answer: %w", err)
}
