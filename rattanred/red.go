// Package rattanred passes over tests that are listed in KNOWN-RED.txt, and
// over no others: each of them fails for a real fault with an open issue.
package rattanred

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Variable is the environment variable that makes listed tests run.
const Variable = "RATTAN_RED"

const listName = "KNOWN-RED.txt"

// SkipKnownFailure ends a test that is listed, after printing its entry. An entry
// covers the test it names and its subtests.
func SkipKnownFailure(t *testing.T) {
	t.Helper()
	if os.Getenv(Variable) != "" {
		return
	}
	if entry := find(t.Name(), read(t)); entry != "" {
		t.Skipf("known red: %s", entry)
	}
}

// find returns the entry of the list that covers the test, empty if none does.
func find(name, list string) string {
	for entry := range strings.Lines(list) {
		listed, _, _ := strings.Cut(entry, " | ")
		listed = strings.TrimSpace(listed)
		if listed != "" && (name == listed || strings.HasPrefix(name, listed+"/")) {
			return strings.TrimSpace(entry)
		}
	}
	return ""
}

// read returns the list at the root of the module.
func read(t *testing.T) string {
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
			t.Fatalf("no module above the test's directory")
		}
		directory = parent
	}
	data, err := os.ReadFile(filepath.Join(directory, listName))
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	return string(data)
}
