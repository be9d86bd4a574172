package rattanjson

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// ErrEnum reports text that names no value of an enumeration.
const ErrEnum = errors.ConstError("unknown name")

// ParseEnum returns the value among the first count values of an enumeration
// whose String form is text. It returns
// ErrEnum, listing the names, when there is none.
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
	return 0, errors.WithType(errors.Errorf("%.80q, want one of %s", string(text), strings.Join(names, ", ")), ErrEnum)
}
