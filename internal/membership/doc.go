// Package membership decides which processes are alive and what a process may
// still do when the table does not answer it. Its decisions are pure; time is
// passed in.
//
// A process holds a session by renewing its row. Others call it expired when
// they have read the row unchanged for SessionTTL on their own clock. The
// process itself stops relying on the session a little earlier.
//
// When the table is down for everybody nobody can be overtaken, so work may
// go on. A process cannot see the difference between that outage and being
// cut off alone; it asks the electors named in its row. A majority of them
// must have vouched, within VouchTTL, that the table is silent for them too.
// Who overtakes a process first fences it: it asks the same electors never to
// vouch for that process again. Two majorities share an elector, so VouchTTL
// after a fenced majority the old process has stopped on its own. Electors
// are named with their incarnation: one that restarted, and so forgot what it
// promised, no longer counts. They keep nothing and decide nothing; the table
// stays the only authority.
package membership
