package overload

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the program under test, built without the race detector, which would multiply its memory.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "overload")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "gentianstand")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/gentianstand").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
