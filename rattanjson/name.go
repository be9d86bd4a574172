package rattanjson

import "strings"

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 64

// NameRule describes the names that IsName accepts, for error messages and
// documentation.
const NameRule = "1 to 64 letters, digits, dots, underscores or hyphens"

// IsName reports whether text is a valid name of an instance, an availability
// zone or a configuration entry.
func IsName(text string) bool {
	if text == "" || len(text) > MaxNameLength {
		return false
	}
	return strings.IndexFunc(text, isInvalidNameRune) < 0
}

func isInvalidNameRune(char rune) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		return false
	default:
		return char != '.' && char != '_' && char != '-'
	}
}
