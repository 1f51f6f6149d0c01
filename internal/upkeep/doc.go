// Package upkeep plans the maintenance of machines in waves. An operator names the
// machines of a wave, the time in which all of them should be maintained, and how many
// may be down at once. Maintenance terminates all tasks on the machine, so the
// worker there is evacuated first.
//
// The flow: a Source lists the waves. The owner of the cell keeps a Tracker for each
// wave that is not completed. Tracker.Plan, which performs no I/O, returns the workers to
// evacuate and the machines whose maintenance is to be ordered. A Fleet carries the
// orders out, and the owner reports their results to the Tracker. The owner stores the
// machines that it is about to order, so that the Tracker of its successor can fence these
// orders before it begins with other machines.
package upkeep
