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
		name:  "config",
		short: "Check settings and install the first configuration",
		subs: []command{
			{
				name:    "check",
				short:   "Check a settings file or a configuration document",
				example: "rattanlever config check entry.json",
				data:    &configCheckOptions{std: std},
			},
			{
				name:    "put",
				short:   "Install the first configuration document in the platform",
				example: "rattanlever config put --platform 127.0.0.1:7300 docs/examples/listaforge.json",
				data:    &configPutOptions{std: std},
			},
		},
	}
}

// Execute checks the file. A file with the key Services, JobKinds or Callers
// is a configuration document.
func (o *configCheckOptions) Execute([]string) error {
	data, err := os.ReadFile(o.Args.File)
	if err != nil {
		return errors.Trace(err)
	}
	if isDocument(data) {
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

// Execute writes the document if the platform has none.
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
		return errors.Annotate(err, "the platform has a configuration already; change it by plans")
	}
	if err != nil {
		return errors.Trace(err)
	}
	_, err = fmt.Fprintln(o.std.out, "revision 1 installed")
	return errors.Trace(err)
}

func isDocument(data []byte) bool {
	var keys map[string]json.RawMessage
	if json.Unmarshal(data, &keys) != nil {
		return false
	}
	for _, key := range []string{"Services", "JobKinds", "Callers"} {
		if _, ok := keys[key]; ok {
			return true
		}
	}
	return false
}
