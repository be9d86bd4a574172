package rattansettings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// TestDefault guards against defaults that differ from the design page.
func TestDefault(t *testing.T) {
	c := qt.New(t)
	c.Assert(Default(), qt.DeepEquals, Settings{
		LogLevel: "info",
		Home: Home{
			HeartbeatInterval: rattanjson.Duration(500 * time.Millisecond),
			TenureDuration:    rattanjson.Duration(1200 * time.Millisecond),
			VerdictMargin:     rattanjson.Duration(300 * time.Millisecond),
			KeyLifetime:       rattanjson.Duration(time.Minute),
			Retention:         rattanjson.Duration(10 * time.Minute),
			AnswerRetention:   rattanjson.Duration(time.Minute),
			MaxRecords:        1_000_000,
			MaxAnswerBytes:    64 << 20,
			DrainTimeout:      rattanjson.Duration(2 * time.Minute),
		},
	})
}

// TestLoad guards against a file whose errors do not name the file.
func TestLoad(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "settings.json")
	_, err := Load(path)
	c.Assert(errors.Is(err, os.ErrNotExist), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, ".*"+path+".*")

	c.Assert(os.WriteFile(path, []byte("{}"), 0o600), qt.IsNil)
	_, err = Load(path)
	c.Assert(errors.Is(err, ErrSettings), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, path+": Name: missing, want .*")
}
