// Package e2e holds the tests that run gentianstand as separate processes,
// because the death, freeze or isolation of a process is their point. The
// record of the worker stand-ins is the judge.
package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaries is where TestMain has built the programs.
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
