package cellleader

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cellpeer"
)

// yield hands the cell over to a stronger instance, if there is one, even while this instance is
// still loading the cell. A weak instance needs seconds where strong ones need tenths of a
// second, and it is slow under load.
func (l *Leader) yield(ctx context.Context, t *term) {
	if time.Since(t.began) < minOwnership || time.Now().Before(t.previousActsUntil()) || !slices.ContainsFunc(l.directory.Others(), l.stronger) {
		return
	}
	known := l.current()
	successors := slices.DeleteFunc(l.successors(ctx, known), func(i cellpeer.Instance) bool { return !l.stronger(i) })
	if len(successors) == 0 {
		return
	}
	l.log.WithFields(logrus.Fields{"term": t.number, "cores": l.directory.Self().Cores,
		"stronger": len(successors)}).Info("ownership_yielded")
	l.handOverTo(ctx, t, known, successors)
}

// stronger reports whether an instance has more CPU than this one.
func (l *Leader) stronger(i cellpeer.Instance) bool { return i.Cores > l.directory.Self().Cores }
