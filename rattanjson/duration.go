// Package rattanjson holds the code that the project's JSON formats share:
// durations encoded as text, enumerations, names, and a strict decoder whose
// errors name the invalid key.
package rattanjson

import (
	"time"

	"github.com/juju/errors"
)

// ErrInvalidDuration is returned for text that is not a duration such as "250ms".
const ErrInvalidDuration = errors.ConstError("not a duration such as \"250ms\"")

// Duration is a time.Duration that is encoded in JSON as text such as "250ms".
type Duration time.Duration

// MarshalText returns the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the duration in the format of time.Duration.String.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// UnmarshalText parses text in the format of time.ParseDuration. It returns
// ErrInvalidDuration for any other text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.WithType(errors.Errorf("%.80q, want a duration such as \"250ms\"", string(text)), ErrInvalidDuration)
	}
	*d = Duration(parsed)
	return nil
}
