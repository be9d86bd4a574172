// Package rattanred skips the tests that are listed in KNOWN-RED.txt, and no
// others. Each listed test fails because of a real fault with an open issue.
package rattanred

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// RunAllVariable is the environment variable that disables skipping when it is
// not empty, so that the listed tests run.
const RunAllVariable = "RATTAN_RED"

const listFileName = "KNOWN-RED.txt"

// SkipKnownFailure skips the test if it is listed, and prints its entry. An
// entry covers the test that it names and its subtests.
func SkipKnownFailure(t *testing.T) {
	t.Helper()
	if os.Getenv(RunAllVariable) != "" {
		return
	}
	if entry := findEntry(t.Name(), readList(t)); entry != "" {
		t.Skipf("known red: %s", entry)
	}
}

// findEntry returns the entry of the list that covers the test, or "" if there is
// none.
func findEntry(name, list string) string {
	for entry := range strings.Lines(list) {
		testName, _, _ := strings.Cut(entry, " | ")
		testName = strings.TrimSpace(testName)
		if testName != "" && (name == testName || strings.HasPrefix(name, testName+"/")) {
			return strings.TrimSpace(entry)
		}
	}
	return ""
}

// readList returns the content of the list file in the root directory of the
// module, or "" if the file does not exist.
func readList(t *testing.T) string {
	t.Helper()
	directory, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(directory, "go.mod")); err == nil {
			break
		}
		parent := filepath.Dir(directory)
		if parent == directory {
			t.Fatalf("no go.mod in the working directory of the test or its parents")
		}
		directory = parent
	}
	data, err := os.ReadFile(filepath.Join(directory, listFileName))
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	return string(data)
}
