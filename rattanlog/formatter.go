package rattanlog

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// timeFormat is RFC 3339 with milliseconds, so that the lines of several
// instances can be sorted by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Names of the fields that every line has.
const (
	timeField    = "Time"
	levelField   = "Level"
	messageField = "Message"
)

// Formatter formats each entry as one JSON object: time, level and message,
// then the other fields sorted by name. The common field types are formatted
// without reflection, because instances write a line for each request and each
// job.
type Formatter struct{}

// Format implements logrus.Formatter.
func (Formatter) Format(entry *logrus.Entry) ([]byte, error) {
	line := make([]byte, 0, 256+32*len(entry.Data))
	line = append(line, `{"`+timeField+`":"`...)
	line = entry.Time.UTC().AppendFormat(line, timeFormat)
	line = append(line, `","`+levelField+`":"`...)
	line = append(line, entry.Level.String()...)
	line = append(line, `","`+messageField+`":`...)
	line = appendString(line, entry.Message)
	names := make([]string, 0, len(entry.Data))
	for name := range entry.Data {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		line = append(line, ',')
		line = appendString(line, name)
		line = append(line, ':')
		var err error
		if line, err = appendValue(line, entry.Data[name]); err != nil {
			return nil, errors.Annotatef(err, "field %s", name)
		}
	}
	return append(line, '}', '\n'), nil
}

func appendValue(line []byte, value any) ([]byte, error) {
	switch typed := value.(type) {
	case string:
		return appendString(line, typed), nil
	case int:
		return strconv.AppendInt(line, int64(typed), 10), nil
	case int64:
		return strconv.AppendInt(line, typed, 10), nil
	case float64:
		return strconv.AppendFloat(line, typed, 'f', -1, 64), nil
	case error:
		return appendString(line, typed.Error()), nil
	case time.Duration:
		return appendString(line, typed.String()), nil
	default:
		data, err := json.Marshal(value)
		return append(line, data...), err
	}
}

// appendString appends text as a JSON string.
func appendString(line []byte, text string) []byte {
	for i := range len(text) {
		if char := text[i]; char < ' ' || char > '~' || char == '"' || char == '\\' {
			data, err := json.Marshal(text)
			if err != nil {
				// Not expected: json.Marshal encodes any string and replaces
				// invalid UTF-8.
				return strconv.AppendQuoteToASCII(line, text)
			}
			return append(line, data...)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}
