package rattansettings

import (
	"os"
	"reflect"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// ErrInvalidSettings is returned for settings that violate a definition or a
// rule between several settings.
const ErrInvalidSettings = errors.ConstError("invalid settings")

// Default returns settings in which all defaults are set. They do not pass
// Check, because names and addresses have no default.
func Default() Settings {
	var settings Settings
	value := reflect.ValueOf(&settings).Elem()
	for _, definition := range definitions {
		definition.setDefault(value)
	}
	return settings
}

// Load reads and checks settings from a JSON file. Its errors contain the path,
// and the errors of Parse also the key.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "settings")
	}
	settings, err := Parse(data)
	if err != nil {
		return Settings{}, errors.Annotate(err, path)
	}
	return settings, nil
}

// Parse decodes and checks settings. Keys that are missing in data get their
// defaults. The errors are those of rattanjson.DecodeStrict and of Check.
func Parse(data []byte) (Settings, error) {
	settings := Default()
	if err := rattanjson.DecodeStrict(data, &settings); err != nil {
		return Settings{}, errors.Trace(err)
	}
	if err := settings.Check(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// Check returns an ErrInvalidSettings with the invalid key and the expected
// values, or nil if the settings are valid.
func (s Settings) Check() error {
	value := reflect.ValueOf(s)
	for _, definition := range definitions {
		if err := definition.check(value); err != nil {
			return err
		}
	}
	if err := s.Keys.check(); err != nil {
		return err
	}
	if err := s.Home.check(); err != nil {
		return err
	}
	return s.checkPeers()
}

func (s Settings) checkPeers() error {
	if s.CallerAddress == s.PeerAddress {
		return invalidSettings("PeerAddress: %q, want another address than CallerAddress", s.PeerAddress)
	}
	seen := map[string]int{}
	for i, peer := range s.Peers {
		if first, ok := seen[peer.Name]; ok {
			return invalidSettings("Peers[%d].Name: %q, want another name than Peers[%d]", i, peer.Name, first)
		}
		seen[peer.Name] = i
	}
	return nil
}

// Empty reports whether no file is set, in which case the instance works without
// TLS.
func (k Keys) Empty() bool {
	return k == Keys{}
}

func (k Keys) check() error {
	if k.Empty() {
		return nil
	}
	files := []struct{ key, path string }{
		{"CertificateFile", k.CertificateFile},
		{"KeyFile", k.KeyFile},
		{"AuthorityFile", k.AuthorityFile},
	}
	for _, file := range files {
		if file.path == "" {
			return invalidSettings("Keys.%s: missing, want the path of a PEM file, or no path at all in Keys for operation without TLS", file.key)
		}
	}
	return nil
}

func (h Home) check() error {
	switch {
	case 2*h.HeartbeatInterval > h.TenureDuration:
		return invalidSettings("Home.HeartbeatInterval: %v, want at most half of Home.TenureDuration (%v)", h.HeartbeatInterval, h.TenureDuration)
	case 10*h.VerdictMargin < h.TenureDuration:
		return invalidSettings("Home.VerdictMargin: %v, want at least a tenth of Home.TenureDuration (%v)", h.VerdictMargin, h.TenureDuration)
	case h.KeyLifetime > h.Retention:
		return invalidSettings("Home.KeyLifetime: %v, want at most Home.Retention (%v)", h.KeyLifetime, h.Retention)
	case h.AnswerRetention > h.Retention:
		return invalidSettings("Home.AnswerRetention: %v, want at most Home.Retention (%v)", h.AnswerRetention, h.Retention)
	}
	return nil
}
