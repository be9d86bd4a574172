// Package rattanlog configures logrus for JSON lines and adapts it to the
// logger interface of kratos.
package rattanlog

import (
	"fmt"
	"io"

	"github.com/go-kratos/kratos/v2/log"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// ErrUnknownLevel is returned for an unknown log level.
const ErrUnknownLevel = errors.ConstError("unknown log level")

// Adapter is a kratos logger that writes to a logrus logger.
type Adapter struct {
	Logger *logrus.Logger
}

// New returns a logger that writes the lines of the given level and of more
// severe levels to output as JSON.
func New(output io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.WithType(errors.Errorf("unknown log level %q", level), ErrUnknownLevel)
	}
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetLevel(parsed)
	logger.SetFormatter(Formatter{})
	return logger, nil
}

// SetGlobal sets the global logger of kratos. It must be called before any
// kratos application is created, because kratos reads its global logger without
// a lock.
func SetGlobal(logger *logrus.Logger) {
	log.SetLogger(Adapter{Logger: logger})
}

// Log writes one line with the key-value pairs as fields. It implements
// log.Logger.
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
