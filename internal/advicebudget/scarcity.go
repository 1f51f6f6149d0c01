package advicebudget

// Scarce reports whether calls are scarcer than the stages that need one: not every stage can have
// a call in progress at the same time.
func Scarce(stages, slots int) bool { return stages > slots }
