package cellleader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/cellowner"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/roster"
	"gentianstand/internal/store"
)

// claimAnswerDelay is how long slowClaimStore takes to answer a write.
const claimAnswerDelay = 800 * time.Millisecond

// slowClaimStore applies a write at once and answers it late. It has no claim and no jobs.
type slowClaimStore struct{ store.Store }

func (slowClaimStore) Get(context.Context, string, string, string) (store.Row, error) {
	return store.Row{}, nil
}

func (slowClaimStore) Commit(context.Context, store.Tx) (uint64, error) {
	time.Sleep(claimAnswerDelay)
	return 1, nil
}

func (slowClaimStore) Read(ctx context.Context, _, _, _ string) (store.Page, error) {
	<-ctx.Done()
	return store.Page{}, store.ErrUnknown
}

func (slowClaimStore) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) (store.Page, error) {
	<-ctx.Done()
	return store.Page{}, store.ErrUnknown
}

// unreadableRoster never answers.
type unreadableRoster struct{ roster.Source }

func (unreadableRoster) All(ctx context.Context) (roster.Change, error) {
	<-ctx.Done()
	return roster.Change{}, store.ErrUnknown
}

// testSlowClaim has an instance claim the cell in a slow store and calls check once the claim is
// stored, before its write is answered.
func testSlowClaim(t *testing.T, check func(l *Leader, claimed claim)) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := logtest.NewNullLogger()
		s := store.NewMonitored(slowClaimStore{})
		self := cellpeer.Instance{Name: "edge-1", Incarnation: "first"}
		newOwner := func(term uint64, _ PreviousOwner, c store.Check, leadership cellowner.Leadership) *cellowner.Owner {
			return cellowner.New(cell.Settings{Term: term}, c, cellowner.Deps{Store: s, Jobs: celljobs.New(s, "cell"),
				Roster: unreadableRoster{}, Log: log, Metrics: cellowner.NewMetrics(metrics.NewSet()), Leadership: leadership})
		}
		l := New("cell", cellpeer.NewDirectory(self, s, log), cellpeer.NewClients(), s, newOwner, nil, log)
		l.suspensions = noSuspensions
		go l.tryTakeOver(t.Context(), claim{}, takeOver{previousStopped: true})
		synctest.Wait()
		check(l, claim{Holder: self.Name, Incarnation: self.Incarnation, Term: 1, version: 1})
		if owned := l.ownTerm(); owned != nil {
			owned.end()
		}
	})
}

// ownTerm returns the term of this instance, or nil.
func (l *Leader) ownTerm() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// Guards against a superseded owner that acts for longer than its successor waits: in a slow store
// its claim counted as confirmed from the answer to its write.
func TestOwnershipIsConfirmedFromTheStartOfItsWrite(t *testing.T) {
	testSlowClaim(t, func(l *Leader, _ claim) {
		time.Sleep(claimAnswerDelay + time.Millisecond)
		owned := l.ownTerm()
		if !owned.Confirmed() {
			t.Error("the ownership is not confirmed after the answer to its write")
		}
		time.Sleep(confirmationTTL - claimAnswerDelay)
		if owned.Confirmed() {
			t.Errorf("the ownership is confirmed more than %v after its write was sent", confirmationTTL)
		}
	})
}

// Guards against two owners at once: a claim is read by another instance, which takes over, before
// its holder receives the answer to its write.
func TestClaimThatWasSupersededBeforeItsAnswerBeginsNoTerm(t *testing.T) {
	testSlowClaim(t, func(l *Leader, _ claim) {
		l.updateClaim(claim{Holder: "edge-2", Incarnation: "second", Term: 2, version: 2})
		time.Sleep(claimAnswerDelay + time.Millisecond)
		if owned := l.ownTerm(); owned != nil || l.current().Term != 2 {
			t.Errorf("a term was begun: %v, claim %+v", owned != nil, l.current())
		}
	})
}

// Guards against a successor that counts the holder of a claim as stopped although its term is
// about to begin.
func TestHolderOfAPendingClaimHasNotStopped(t *testing.T) {
	testSlowClaim(t, func(l *Leader, claimed claim) {
		ping := &cellpb.PingRequest{From: "edge-2", Term: claimed.Term}
		l.updateClaim(claimed)
		if reply := l.Ping(ping); disclaimsOwnership(reply, claimed.Term, 0) {
			t.Errorf("the holder disclaims its pending claim: %v", reply)
		}
		time.Sleep(claimAnswerDelay + time.Millisecond)
		if reply := l.Ping(ping); !reply.Owner || reply.Term != claimed.Term {
			t.Errorf("the holder does not own the cell after the answer: %v", reply)
		}
	})
}

// Guards against two owners at once: a holder that is replaced because it does not know of its claim
// receives the answer to its write later.
func TestHolderThatDoesNotKnowItsTermMayStillAct(t *testing.T) {
	for name, test := range map[string]struct {
		knows uint64
		want  bool
	}{
		"it does not know its term": {4, false},
		"it has given up its term":  {5, true},
		"it knows of a later owner": {6, true},
	} {
		if got := disclaimedTakeOver(&cellpb.PingReply{Term: test.knows}, 5); got.previousStopped != test.want {
			t.Errorf("%s: stopped %v, want %v", name, got.previousStopped, test.want)
		}
	}
}
