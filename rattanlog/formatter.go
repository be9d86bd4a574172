package rattanlog

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// timeFormat is RFC 3339 with milliseconds, in which lines of several instances
// can be put in order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Names of the fields that each line has.
const (
	timeField    = "Time"
	levelField   = "Level"
	messageField = "Message"
)

// Formatter writes each entry as one JSON object: time, level and message, then
// the other fields by name. The types of the usual fields are written without
// reflection, because instances write a line for each request and each job.
type Formatter struct{}

// Format implements logrus.Formatter.
func (Formatter) Format(entry *logrus.Entry) ([]byte, error) {
	line := make([]byte, 0, 256+32*len(entry.Data))
	line = append(line, `{"`+timeField+`":"`...)
	line = entry.Time.UTC().AppendFormat(line, timeFormat)
	line = append(line, `","`+levelField+`":"`...)
	line = append(line, entry.Level.String()...)
	line = append(line, `","`+messageField+`":`...)
	line = appendText(line, entry.Message)
	names := make([]string, 0, len(entry.Data))
	for name := range entry.Data {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		line = append(line, ',')
		line = appendText(line, name)
		line = append(line, ':')
		var err error
		if line, err = appendValue(line, entry.Data[name]); err != nil {
			return nil, errors.Annotatef(err, "field %s", name)
		}
	}
	return append(line, '}', '\n'), nil
}

func appendValue(line []byte, value any) ([]byte, error) {
	switch v := value.(type) {
	case string:
		return appendText(line, v), nil
	case int:
		return strconv.AppendInt(line, int64(v), 10), nil
	case int64:
		return strconv.AppendInt(line, v, 10), nil
	case float64:
		return strconv.AppendFloat(line, v, 'f', -1, 64), nil
	case error:
		return appendText(line, v.Error()), nil
	case time.Duration:
		return appendText(line, v.String()), nil
	default:
		data, err := json.Marshal(value)
		return append(line, data...), err
	}
}

// appendText appends a JSON string.
func appendText(line []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			data, err := json.Marshal(text)
			if err != nil {
				// A string can always be encoded; what is not UTF-8 is replaced.
				return strconv.AppendQuoteToASCII(line, text)
			}
			return append(line, data...)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}
