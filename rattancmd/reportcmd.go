package rattancmd

import (
	"fmt"
	"os"

	"github.com/juju/errors"
)

// reportFileMode lets others read a report.
const reportFileMode = 0o644

type reportBurnOptions struct {
	operatorOptions
	HTML string `long:"html" value-name:"FILE" description:"write the report as a page with plots"`
}

func reportCommand(std *streams) command {
	return command{
		name:  "report",
		short: "Report on service levels",
		subs: []command{{
			name:    "burn",
			short:   "Report burn rates of the service-level objectives",
			example: "rattanlever report burn --html burn.html",
			data:    &reportBurnOptions{operatorOptions: operatorOptions{std: std}},
		}},
	}
}

// Execute prints the report and writes its page if asked to.
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
