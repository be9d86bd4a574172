// Package rattancmd implements the rattanlever command line. Each command is in
// a file of its own.
package rattancmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

// Exit codes of every command.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// ErrUsage is the type of errors about invalid command-line arguments; they make
// the command exit with ExitUsage.
const ErrUsage = errors.ConstError("usage")

// streams holds the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// read returns the content of a file, or of the standard input for "-".
func (s *streams) read(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(s.in)
		return data, errors.Trace(err)
	}
	data, err := os.ReadFile(path)
	return data, errors.Trace(err)
}

// command is a node of the command tree. A command with subcommands only groups
// them and cannot be run itself.
type command struct {
	name        string
	summary     string
	example     string
	options     any
	subcommands []command
}

// Main runs the command line and returns the exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	std := &streams{in: in, out: out, err: errOut}
	parser := flags.NewNamedParser("rattanlever", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "dispatcher for sub-second tasks"
	parser.LongDescription = "Dispatches jobs of sub-second tasks to targets. Each command has its own help."
	for _, cmd := range commands(std) {
		if err := addCommand(parser.Command, cmd); err != nil {
			_, _ = fmt.Fprintln(errOut, "rattanlever:", err)
			return ExitFailed
		}
	}
	parser.CommandHandler = execute
	_, err := parser.ParseArgs(args)
	return exitCode(err, out, errOut)
}

// commands returns the command tree, sorted by name.
func commands(std *streams) []command {
	return []command{
		benchCommand(std),
		configCommand(std),
		confirmCommand(std),
		demoCommand(std),
		entryCommand(std),
		explainCommand(std),
		jobCommand(std),
		keysCommand(std),
		planCommand(std),
		reportCommand(std),
		serveCommand(std),
		standinCommand(std),
		whereCommand(std),
	}
}

// commandAdder is implemented by the parser and by its commands.
type commandAdder interface {
	AddCommand(command, shortDescription, longDescription string, data any) (*flags.Command, error)
}

func addCommand(parent commandAdder, cmd command) error {
	description := cmd.summary + "."
	if cmd.example != "" {
		description += "\n\nExample:\n  " + cmd.example
	}
	options := cmd.options
	if options == nil {
		options = &struct{}{}
	}
	added, err := parent.AddCommand(cmd.name, cmd.summary, description, options)
	if err != nil {
		return errors.Annotatef(err, "command %s", cmd.name)
	}
	for _, subcommand := range cmd.subcommands {
		if err := addCommand(added, subcommand); err != nil {
			return err
		}
	}
	return nil
}

// execute runs the selected command and rejects arguments that the parser left
// unconsumed.
func execute(cmd flags.Commander, extraArgs []string) error {
	if len(extraArgs) > 0 {
		return usageError("%s: unexpected argument", extraArgs[0])
	}
	if cmd == nil {
		return nil
	}
	return cmd.Execute(nil)
}

// exitCode prints the requested help or the first line of the error, if any, and
// returns the exit code.
func exitCode(err error, out, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var parseError *flags.Error
	if errors.As(err, &parseError) {
		if parseError.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(out, parseError.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(errOut, "rattanlever:", firstLine(parseError.Message))
		return ExitUsage
	}
	_, _ = fmt.Fprintln(errOut, "rattanlever:", firstLine(err.Error()))
	if errors.Is(err, ErrUsage) {
		return ExitUsage
	}
	return ExitFailed
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// signalContext returns a context that is cancelled on SIGINT and SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

func usageError(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrUsage)
}
