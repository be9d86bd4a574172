// Package rattanprocess builds the program and runs instances of the command serve
// as processes, together with stand-ins for the platform and the targets. It is used
// in tests.
package rattanprocess

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/juju/errors"
)

// Build builds the program in a directory and returns its path.
func Build(directory string) (binary string, err error) {
	binary = filepath.Join(directory, "rattanlever")
	output, err := exec.Command("go", "build", "-o", binary, "github.com/rattanlever/rattanlever").CombinedOutput()
	return binary, errors.Annotatef(err, "build: %s", output)
}

// BuildAndRun builds the program in a temporary directory, stores its path, calls run,
// and returns the exit code of run, or 1 if the program cannot be built.
func BuildAndRun(binary *string, run func() int) int {
	directory, err := os.MkdirTemp("", "rattanlever")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if *binary, err = Build(directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return run()
}
