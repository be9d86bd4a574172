package rattanred

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestFindEntry guards against skipping a test that is not listed.
func TestFindEntry(t *testing.T) {
	const list = "TestA/136 | go test | seeds | seen | issue 5\nTestB | go test\n"
	tests := map[string]string{
		"TestA/136":   "TestA/136 | go test | seeds | seen | issue 5",
		"TestA/136/1": "TestA/136 | go test | seeds | seen | issue 5",
		"TestA/1360":  "",
		"TestA/400":   "",
		"TestA":       "",
		"TestB":       "TestB | go test",
		"TestBC":      "",
	}
	for name, want := range tests {
		qt.Check(t, findEntry(name, list), qt.Equals, want, qt.Commentf("%s", name))
	}
	qt.Check(t, findEntry("", list+"\n"), qt.Equals, "")
}
