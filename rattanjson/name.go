package rattanjson

import "strings"

// MaxNameLength is the longest name in bytes.
const MaxNameLength = 64

// NameRule says what IsName accepts, for errors and documentation.
const NameRule = "1 to 64 letters, digits, dots, underscores or hyphens"

// IsName reports whether text can name an instance, an availability zone or an
// entry of the configuration.
func IsName(text string) bool {
	if text == "" || len(text) > MaxNameLength {
		return false
	}
	return strings.IndexFunc(text, isNotNameRune) < 0
}

func isNotNameRune(char rune) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		return false
	default:
		return char != '.' && char != '_' && char != '-'
	}
}
