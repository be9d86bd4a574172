package rattancmd

import (
	"os"
	"runtime/pprof"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattanlog"
	"github.com/rattanlever/rattanlever/rattanmetric"
	"github.com/rattanlever/rattanlever/rattannode"
)

type serveOptions struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file of the platform; the default is the one that the platform names in the environment"`
	LogLevel string `long:"log-level" value-name:"LEVEL" default:"info" description:"minimum severity of log lines"`
	Profile  string `long:"cpu-profile" value-name:"FILE" description:"write a CPU profile in pprof format when the instance ends"`

	std *streams
}

func serveCommand(std *streams) command {
	return command{
		name:    "serve",
		summary: "Run one instance from the settings file that the platform provides",
		example: "rattanlever serve --settings boot.json",
		options: &serveOptions{std: std},
	}
}

// Execute runs the instance until SIGINT or SIGTERM.
func (o *serveOptions) Execute([]string) error {
	output := rattanlog.NewNonBlockingWriter(o.std.out)
	defer output.Close()
	logger, err := rattanlog.New(output, o.LogLevel)
	if err != nil {
		return errors.Annotate(err, "log-level")
	}
	rattanlog.SetGlobal(logger)
	settings, err := platform.ReadSettings(o.Settings)
	if errors.Is(err, platform.ErrNoSettings) {
		return usageError("serve: --settings: %v", err)
	}
	if err != nil {
		return errors.Trace(err)
	}
	rattannode.TuneCollection(settings.MemoryBytes)
	registry := rattanmetric.New()
	registry.CounterFunc(rattanmetric.LogLinesDroppedTotal, output.Dropped.Load)
	registry.CounterFunc(rattanmetric.LogLinesTotal, output.Accepted.Load)
	node, err := rattannode.New(rattannode.Config{
		Settings:     settings,
		SettingsPath: o.Settings,
		Logger:       logger,
		Registry:     registry,
		Clock:        time.Now,
	})
	if err != nil {
		return errors.Annotatef(err, "instance %s", settings.Instance)
	}
	stopProfile, err := startProfile(o.Profile)
	if err != nil {
		return err
	}
	if err := node.Run(); err != nil {
		_ = stopProfile()
		return errors.Trace(err)
	}
	return stopProfile()
}

// startProfile starts writing a CPU profile to the path, unless it is empty.
// The returned function completes the file.
func startProfile(path string) (stop func() error, err error) {
	if path == "" {
		return func() error { return nil }, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Annotate(err, "cpu-profile")
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		_ = file.Close()
		return nil, errors.Annotate(err, "cpu-profile")
	}
	return func() error {
		pprof.StopCPUProfile()
		return errors.Annotate(file.Close(), "cpu-profile")
	}, nil
}
