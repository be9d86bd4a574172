package rattancmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanplatform"
	"github.com/rattanlever/rattanlever/rattansettings"
)

type configCheckOptions struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`

	std *streams
}

type configPutOptions struct {
	Platform string `long:"platform" value-name:"ADDRESS" required:"true" description:"IP address and port of the platform's key-value service"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`

	std *streams
}

func configCommand(std *streams) command {
	return command{
		name:    "config",
		summary: "Check settings and install the first configuration",
		subcommands: []command{
			{
				name:    "check",
				summary: "Check a settings file or a configuration document",
				example: "rattanlever config check entry.json",
				options: &configCheckOptions{std: std},
			},
			{
				name:    "put",
				summary: "Install the first configuration document in the platform",
				example: "rattanlever config put --platform 127.0.0.1:7300 docs/examples/listaforge.json",
				options: &configPutOptions{std: std},
			},
		},
	}
}

// Execute validates the file, as a configuration document if it has one of the
// keys Services, JobKinds and Callers and as a settings file otherwise.
func (o *configCheckOptions) Execute([]string) error {
	data, err := os.ReadFile(o.Args.File)
	if err != nil {
		return errors.Trace(err)
	}
	if isConfigDocument(data) {
		_, err = rattanconfig.Parse(data)
	} else {
		_, err = rattansettings.Parse(data)
	}
	if err != nil {
		return errors.Annotate(err, o.Args.File)
	}
	_, err = fmt.Fprintf(o.std.out, "%s: valid\n", o.Args.File)
	return errors.Trace(err)
}

// Execute writes the document to the platform unless the platform already has
// one.
func (o *configPutOptions) Execute([]string) error {
	if err := checkAddress("--platform", o.Platform); err != nil {
		return err
	}
	data, err := os.ReadFile(o.Args.File)
	if err != nil {
		return errors.Trace(err)
	}
	document, err := rattanconfig.Parse(data)
	if err != nil {
		return errors.Annotate(err, o.Args.File)
	}
	document.Revision = 1
	value, err := rattanconfig.Pack(document)
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	platform := rattanplatform.New(rattanplatform.Options{Address: o.Platform})
	_, err = platform.Put(ctx, rattanconfig.PlatformKey, value, rattanplatform.NoRevision, rattanplatform.NoLease)
	if errors.Is(err, rattanplatform.ErrConflict) {
		return errors.Annotate(err, "the platform already has a configuration; change it with plans")
	}
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintln(o.std.out, "revision 1 installed")
	return errors.Trace(err)
}

// isConfigDocument reports whether the JSON object has a key that only
// configuration documents have.
func isConfigDocument(data []byte) bool {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return false
	}
	for _, key := range []string{"Services", "JobKinds", "Callers"} {
		if _, ok := fields[key]; ok {
			return true
		}
	}
	return false
}
