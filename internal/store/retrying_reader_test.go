package store

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// flaky is a store whose first reads are scripted: an error is returned at once, and nil means
// that the read is not answered.
type flaky struct {
	Store
	first []error
	reads int
}

func (m *flaky) Read(ctx context.Context, _, _, _ string) (Page, error) {
	m.reads++
	if m.reads > len(m.first) {
		return Page{Version: 7}, nil
	}
	if err := m.first[m.reads-1]; err != nil {
		return Page{}, err
	}
	<-ctx.Done()
	return Page{}, ErrUnknown
}

// Guards against an owner that blocks on an unanswered read of the cell and plans nothing.
func TestUnansweredReadIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &flaky{first: []error{nil, ErrUnavailable, nil}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		page, err := RetryingReader{m}.Read(ctx, "jobs", "cell-0/001", "")
		if err != nil || page.Version != 7 || m.reads != 4 {
			t.Errorf("page %+v, error %v after %d reads", page, err, m.reads)
		}
	})
}

func TestPersistentReadEndsWithItsContextAndWithOtherErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		unanswered := &flaky{first: make([]error, 100)}
		if _, err := (RetryingReader{unanswered}).Read(ctx, "jobs", "", ""); !errors.Is(err, ErrUnknown) {
			t.Errorf("error %v at the deadline", err)
		}
		other := &flaky{first: []error{ErrHistoryGone}}
		if _, err := (RetryingReader{other}).Read(t.Context(), "jobs", "", ""); !errors.Is(err, ErrHistoryGone) || other.reads != 1 {
			t.Errorf("error %v after %d reads", err, other.reads)
		}
	})
}

// slowPages is a store whose pages take 3 seconds on a slow link.
type slowPages struct {
	Store
	reads int
}

func (l *slowPages) Read(ctx context.Context, _, _, _ string) (Page, error) {
	l.reads++
	select {
	case <-time.After(3 * time.Second):
		return Page{Version: 7}, nil
	case <-ctx.Done():
		return Page{}, ErrUnknown
	}
}

// Guards against a new owner on a slow link that times out on every large page and loads
// nothing.
func TestLargePageIsReadInOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slowPages{}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if page, err := (RetryingReader{l}).Read(ctx, "progress", "cell-0", ""); err != nil || page.Version != 7 || l.reads != 1 {
			t.Errorf("page %+v, error %v after %d reads", page, err, l.reads)
		}
	})
}
