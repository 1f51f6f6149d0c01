package membership

import "gentianstand/internal/live"

// Majority reports whether answered contains more than half of the electors. A
// process that is not an elector, such as one that restarted, does not count.
func Majority(electors, answered []live.Process) bool {
	if len(electors) == 0 {
		return false
	}
	isElector := make(map[live.Process]bool, len(electors))
	for _, p := range electors {
		isElector[p] = true
	}
	votes := 0
	for _, p := range answered {
		if isElector[p] {
			votes++
			delete(isElector, p)
		}
	}
	return 2*votes > len(electors)
}
