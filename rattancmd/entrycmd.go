package rattancmd

import (
	"context"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/rattanlever/rattanlever/rattanentry"
	"github.com/rattanlever/rattanlever/rattanlog"
	"github.com/rattanlever/rattanlever/rattansettings"
)

type entryOptions struct {
	Config string `long:"config" value-name:"FILE" required:"true" description:"settings of the instance, in JSON"`

	std *streams
}

func entryCommand(std *streams) command {
	return command{
		name:    "entry",
		summary: "Run one entry instance",
		example: "rattanlever entry --config entry.json",
		options: &entryOptions{std: std},
	}
}

// Execute runs the instance until SIGINT or SIGTERM and then shuts it down
// gracefully. An instance that the other instances consider dead restarts as a
// new incarnation.
func (o *entryOptions) Execute([]string) error {
	settings, err := rattansettings.Load(o.Config)
	if err != nil {
		return errors.Trace(err)
	}
	logger, err := rattanlog.New(o.std.err, settings.LogLevel)
	if err != nil {
		return errors.Annotate(err, "LogLevel")
	}
	rattanlog.SetGlobal(logger)
	for {
		err := runInstance(settings, logger)
		if !errors.Is(err, rattanentry.ErrSuperseded) {
			return err
		}
		logger.Info("superseded; restarting as a new incarnation")
	}
}

func runInstance(settings rattansettings.Settings, logger *logrus.Logger) error {
	instance, err := rattanentry.New(rattanentry.Config{Settings: settings, Logger: logger})
	if err != nil {
		return errors.Annotatef(err, "instance %s", settings.Name)
	}
	return instance.Run(context.Background())
}
