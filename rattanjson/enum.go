package rattanjson

import (
	"fmt"

	"github.com/juju/errors"
)

// ErrEnum reports text that names no value of an enumeration.
const ErrEnum = errors.ConstError("unknown name")

// ParseEnum returns the value among the first count values of an enumeration
// whose String form is text. It returns ErrEnum when there is none.
func ParseEnum[T interface {
	~int
	fmt.Stringer
}](text []byte, count T) (T, error) {
	for value := T(0); value < count; value++ {
		if value.String() == string(text) {
			return value, nil
		}
	}
	return 0, errors.WithType(errors.Errorf("%q", string(text)), ErrEnum)
}
