package rattanjson

import (
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// Write writes a value as one indented JSON value, followed by a newline.
func Write(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(value))
}
