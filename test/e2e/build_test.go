// Package e2e tests gentianstand as separate processes, for failures that kill, freeze or
// isolate a process. The tests check the record of the worker stand-ins for violations of the
// scheduler's guarantees.
package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaries is the directory into which TestMain builds the programs.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gentianstand-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	code := 1
	if build("gentianstand", "gentianstand/cmd/gentianstand") && build("standin", "gentianstand/test/standin") {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func build(name, pkg string) bool {
	out, err := exec.Command("go", "build", "-o", filepath.Join(binaries, name), pkg).CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build %s: %v\n%s", pkg, err, out)
	}
	return err == nil
}
