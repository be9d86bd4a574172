// Package rattanlog adapts logrus to the logger interface of kratos.
package rattanlog

import (
	"fmt"
	"io"

	"github.com/go-kratos/kratos/v2/log"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// ErrLevel reports an unknown log level.
const ErrLevel = errors.ConstError("unknown log level")

// Adapter is a kratos logger that writes to a logrus logger.
type Adapter struct {
	Logger *logrus.Logger
}

// New returns a logger that writes lines at the level and above as JSON.
func New(output io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.WithType(errors.Errorf("%q", level), ErrLevel)
	}
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetLevel(parsed)
	logger.SetFormatter(Formatter{})
	return logger, nil
}

// SetGlobal makes the logger that of kratos for the whole process. It must be
// called before any kratos application is made, because kratos reads its
// global logger without a lock.
func SetGlobal(logger *logrus.Logger) {
	log.SetLogger(Adapter{Logger: logger})
}

// Log writes one line with the key-value pairs as fields.
func (a Adapter) Log(level log.Level, pairs ...any) error {
	fields := logrus.Fields{}
	message := ""
	for i := 0; i+1 < len(pairs); i += 2 {
		name := fmt.Sprint(pairs[i])
		if name == log.DefaultMessageKey {
			message = fmt.Sprint(pairs[i+1])
			continue
		}
		fields[name] = pairs[i+1]
	}
	a.Logger.WithFields(fields).Log(logrusLevel(level), message)
	return nil
}

func logrusLevel(level log.Level) logrus.Level {
	switch level {
	case log.LevelDebug:
		return logrus.DebugLevel
	case log.LevelInfo:
		return logrus.InfoLevel
	case log.LevelWarn:
		return logrus.WarnLevel
	default:
		return logrus.ErrorLevel
	}
}
