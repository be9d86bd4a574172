package rattanjson

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// ErrUnknownName is returned for text that is not the name of an enumeration
// value.
const ErrUnknownName = errors.ConstError("unknown name")

// ParseEnum returns the value below count whose String method returns text. If
// there is none, it returns ErrUnknownName with a list of the valid names.
func ParseEnum[T interface {
	~int
	fmt.Stringer
}](text []byte, count T) (T, error) {
	var names []string
	for value := T(0); value < count; value++ {
		if value.String() == string(text) {
			return value, nil
		}
		names = append(names, value.String())
	}
	return 0, errors.WithType(errors.Errorf("%.80q, want one of %s", string(text), strings.Join(names, ", ")), ErrUnknownName)
}
