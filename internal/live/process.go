package live

// Process is one life of one instance. A new process on an old address is
// another Process.
type Process struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
}

// String returns instance/incarnation.
func (p Process) String() string { return p.Instance + "/" + p.Incarnation }
