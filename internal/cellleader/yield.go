package cellleader

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellpeer"
)

// yield hands the cell over to a stronger instance, if there is one, even while this
// one is still reading the cell.
//
// What can go wrong: all strong instances are away for a moment, and one with a
// quarter of their processor takes over. It needs seconds where they need tenths,
// and stays the owner when they are back. It shows as "cell_loaded" and "recovered"
// of more than a second, and as an owner that falls silent under load.
func (l *Leader) yield(ctx context.Context, t *term) {
	if time.Since(t.began) < yieldAfter || !slices.ContainsFunc(l.directory.Others(), l.stronger) {
		return
	}
	known := l.current()
	callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	successors := slices.DeleteFunc(l.successors(callCtx, known), func(i cellpeer.Instance) bool { return !l.stronger(i) })
	if len(successors) == 0 {
		return
	}
	l.log.WithFields(logrus.Fields{"term": t.number, "cores": l.directory.Self().Cores,
		"stronger": len(successors)}).Info("ownership_yielded")
	l.giveUp(callCtx, t, known, successors)
}

// stronger reports whether an instance has more processor than this one.
func (l *Leader) stronger(i cellpeer.Instance) bool { return i.Cores > l.directory.Self().Cores }
