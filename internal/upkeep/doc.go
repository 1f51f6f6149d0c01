// Package upkeep decides how the machines of a wave get their upkeep. An operator
// names the machines of a wave, a time within which all of them should have had it,
// and how many may be down at once. An upkeep ends everything on its machine, so the
// worker there is emptied first.
//
// The flow: a Source lists the waves; the owner of the cell keeps a Tracker for each
// one that is not completed; Tracker.Plan, which is pure, says which workers to empty
// and for which machines to order the upkeep; a Fleet carries the orders out, and their
// answers are told to the Tracker.
package upkeep
