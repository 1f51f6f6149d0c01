package overload

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// The program under test and the stand-ins of its surroundings, built without the race detector, which would
// multiply the memory.
var binary, standinBinary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "overload")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary, standinBinary = filepath.Join(dir, "gentianstand"), filepath.Join(dir, "standin")
	for path, source := range map[string]string{binary: "../../cmd/gentianstand", standinBinary: "../standin"} {
		if out, err := exec.Command("go", "build", "-o", path, source).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", source, err, out)
			return 1
		}
	}
	return m.Run()
}
