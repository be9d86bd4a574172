package rattansettings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// TestDefault guards against defaults that differ from the design documentation.
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
			PoolSlots:         1024,
			DrainTimeout:      rattanjson.Duration(2 * time.Minute),
		},
	})
}

// TestLoad guards against errors that do not contain the path of the file.
func TestLoad(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "settings.json")
	_, err := Load(path)
	c.Assert(errors.Is(err, os.ErrNotExist), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, ".*"+path+".*")

	c.Assert(os.WriteFile(path, []byte("{}"), 0o600), qt.IsNil)
	_, err = Load(path)
	c.Assert(errors.Is(err, ErrInvalidSettings), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, path+": Name: missing, want .*")
}

const validSettings = `{"Name":"buda-1","AvailabilityZone":"buda","CallerAddress":"0.0.0.0:8080",
	"PeerAddress":"[fd00::1]:9090","PlatformAddress":"10.0.0.9:7000",
	"Peers":[{"Name":"pest-1","AvailabilityZone":"pest","PeerAddress":"10.0.1.1:9090"}],
	"Home":{"MaxRecords":5000,"DrainTimeout":"30s"}}`

// TestParse guards against keys in a file that do not override the defaults, and
// against missing keys that lose theirs.
func TestParse(t *testing.T) {
	c := qt.New(t)
	settings, err := Parse([]byte(validSettings))
	c.Assert(err, qt.IsNil)
	c.Assert(settings.Home.MaxRecords, qt.Equals, 5000)
	c.Assert(settings.Home.DrainTimeout.Std(), qt.Equals, 30*time.Second)
	c.Assert(settings.Home.TenureDuration, qt.Equals, Default().Home.TenureDuration)
	c.Assert(settings.Peers, qt.DeepEquals, []Peer{{Name: "pest-1", AvailabilityZone: "pest", PeerAddress: "10.0.1.1:9090"}})
}

// TestCheck guards against invalid values that are accepted, and against errors
// without the key or the expected values.
func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name, key string
		change    func(*Settings)
		want      string
	}{
		{"no name", "Name", func(s *Settings) { s.Name = "" }, "missing, want 1 to 64 letters.*"},
		{"long name", "Name", func(s *Settings) { s.Name = string(make([]byte, 65)) }, ".*want 1 to 64 letters.*"},
		{"space in name", "Name", func(s *Settings) { s.Name = "a b" }, `"a b", want 1 to 64 letters.*`},
		{"no zone", "AvailabilityZone", func(s *Settings) { s.AvailabilityZone = "" }, "missing, want .*"},
		{"host name", "CallerAddress", func(s *Settings) { s.CallerAddress = "localhost:80" }, `"localhost:80", want an IP address and a port.*`},
		{"no port", "CallerAddress", func(s *Settings) { s.CallerAddress = "10.0.0.1" }, ".*want an IP address and a port.*"},
		{"port 0", "CallerAddress", func(s *Settings) { s.CallerAddress = "10.0.0.1:0" }, ".*want .* a port from 1 to 65535.*"},
		{"port 70000", "CallerAddress", func(s *Settings) { s.CallerAddress = "10.0.0.1:70000" }, ".*want .* a port from 1 to 65535.*"},
		{"unspecified peer address", "PeerAddress", func(s *Settings) { s.PeerAddress = "0.0.0.0:90" }, ".*want an IP address that others can reach.*"},
		{"same address for callers and peers", "PeerAddress", func(s *Settings) { s.CallerAddress = s.PeerAddress }, ".*want another address than CallerAddress"},
		{"no platform", "PlatformAddress", func(s *Settings) { s.PlatformAddress = "" }, "missing, want .*"},
		{"same name for two peers", `Peers\[1\].Name`, func(s *Settings) { s.Peers = append(s.Peers, s.Peers[0]) }, `"pest-1", want another name than Peers\[0\]`},
		{"no peer zone", `Peers\[0\].AvailabilityZone`, func(s *Settings) { s.Peers[0].AvailabilityZone = "" }, "missing, want .*"},
		{"no IP address of peer", `Peers\[0\].PeerAddress`, func(s *Settings) { s.Peers[0].PeerAddress = ":90" }, ".*want an IP address.*"},
		{"unknown log level", "LogLevel", func(s *Settings) { s.LogLevel = "loud" }, `"loud", want one of error, warn, info, debug`},
		{"only one key file", "Keys.KeyFile", func(s *Settings) { s.Keys.CertificateFile = "a.pem" }, "missing, want the path of a PEM file.*"},
		{"path with NUL byte", "Document", func(s *Settings) { s.Document = "a\x00" }, ".*want the path of a file"},
		{"negative duration", "Home.HeartbeatInterval", func(s *Settings) { s.Home.HeartbeatInterval = -1 }, `"-1ns", want a duration from 10ms to 10s`},
		{"zero duration", "Home.Retention", func(s *Settings) { s.Home.Retention = 0 }, `"0s", want a duration from 1s to 24h`},
		{"too long heartbeat interval", "Home.HeartbeatInterval", func(s *Settings) { s.Home.HeartbeatInterval = s.Home.TenureDuration }, ".*want at most half of Home.TenureDuration.*"},
		{"too short verdict margin", "Home.VerdictMargin", func(s *Settings) { s.Home.TenureDuration = rattanjson.Duration(10 * time.Second) }, "300ms, want at least a tenth of Home.TenureDuration.*"},
		{"key lifetime above retention", "Home.KeyLifetime", func(s *Settings) { s.Home.KeyLifetime = rattanjson.Duration(time.Hour) }, ".*want at most Home.Retention.*"},
		{"answer retention above retention", "Home.AnswerRetention", func(s *Settings) { s.Home.AnswerRetention = rattanjson.Duration(time.Hour) }, ".*want at most Home.Retention.*"},
		{"no records", "Home.MaxRecords", func(s *Settings) { s.Home.MaxRecords = 0 }, `"0", want a number of records from 1000 to 100000000`},
		{"too many answer bytes", "Home.MaxAnswerBytes", func(s *Settings) { s.Home.MaxAnswerBytes = 1 << 62 }, ".*want a number of bytes from .*"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			settings, err := Parse([]byte(validSettings))
			c.Assert(err, qt.IsNil)
			test.change(&settings)
			err = settings.Check()
			c.Assert(errors.Is(err, ErrInvalidSettings), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(err, qt.ErrorMatches, test.key+": "+test.want)
		})
	}
}

// FuzzParse guards against panics, and against settings that are accepted but
// rejected after encoding and decoding.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := Parse(data)
		if err != nil {
			return
		}
		text, err := json.Marshal(settings)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(text); err != nil {
			t.Fatalf("round trip of %s: %v", text, err)
		}
	})
}

// TestExample guards against an example in the documentation that is not valid.
func TestExample(t *testing.T) {
	c := qt.New(t)
	settings, err := Load("../docs/examples/settings.json")
	c.Assert(err, qt.IsNil)
	c.Assert(settings.Peers, qt.HasLen, 3)
}
