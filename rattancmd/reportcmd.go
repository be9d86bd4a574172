package rattancmd

import (
	"fmt"
	"os"

	"github.com/juju/errors"
)

// reportFileMode makes reports readable by all users.
const reportFileMode = 0o644

type reportBurnOptions struct {
	operatorOptions
	HTML string `long:"html" value-name:"FILE" description:"write the report as an HTML page with charts"`
}

func reportCommand(std *streams) command {
	return command{
		name:    "report",
		summary: "Report on service-level objectives",
		subcommands: []command{{
			name:    "burn",
			summary: "Report burn rates of the service-level objectives",
			example: "rattanlever report burn --html burn.html",
			options: &reportBurnOptions{operatorOptions: operatorOptions{std: std}},
		}},
	}
}

// Execute prints the report and, with --html, writes it as a page.
func (o *reportBurnOptions) Execute([]string) error {
	text, err := o.get("/v1/report/burn")
	if err != nil {
		return err
	}
	_, _ = fmt.Fprint(o.std.out, string(text))
	if o.HTML == "" {
		return nil
	}
	page, err := o.get("/v1/report/burn.html")
	if err != nil {
		return err
	}
	return errors.Annotate(os.WriteFile(o.HTML, page, reportFileMode), "--html")
}
