// Package membership decides which processes are alive and what a process may
// still do when the table does not answer it. Its decisions are deterministic;
// the current time is passed in.
//
// A process holds a session by renewing its row. Other processes regard it as
// expired when they have read the row unchanged for SessionTTL on their own
// clock. The process itself stops relying on the session slightly earlier.
//
// When the table is unavailable to everybody, no process can be superseded, so
// work may continue. A process cannot distinguish such an outage from a network
// partition that affects only itself. It therefore asks the electors named in
// its row: within AttestationTTL, a majority of them must have attested that
// the table does not answer them either. A process that takes over from another
// one first fences it by asking the same electors never again to attest an
// outage to that process. Any two majorities share an elector, so
// AttestationTTL after a majority has fenced the old process, that process has
// stopped by itself.
//
// Electors are identified by process incarnation: an elector that restarted,
// and thus lost its promises, no longer counts. Electors store nothing
// permanently and make no decisions; the table remains the only authority.
package membership
