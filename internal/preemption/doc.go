// Package preemption decides which runs are stopped so that urgent tasks can start. It performs no
// I/O.
//
// A stop loses the work since the run's last checkpoint, and the capacity that the run occupies
// until it has ended. Each demand has a budget for that: the work of its own tasks, which is in
// time only if they start soon.
package preemption
