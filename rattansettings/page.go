package rattansettings

import "strings"

const pageHeader = `# Settings

Settings of one entry instance, a JSON object that ` + "`rattanlever entry --config FILE`" + ` reads and ` + "`rattanlever config check FILE`" + ` checks. Durations are strings such as ` + "`\"250ms\"`" + `; names are 1 to 64 letters, digits, dots, underscores or hyphens; addresses are an IP address and a port. This page is generated from the table in ` + "`rattansettings/table.go`" + ` by ` + "`go test ./rattansettings -update`" + `.

| key | type | default | range | description |
|---|---|---|---|---|
`

// Page returns the reference of all settings as a Markdown page.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHeader)
	for _, row := range table {
		page.WriteString("| `" + row.Key + "` | " + row.typeText() + " | " + row.defaultText() + " | " + row.rangeText() + " | " + row.Description + " |\n")
	}
	return page.String()
}

func (r Row) typeText() string {
	if r.Unit == "" {
		return string(r.Type)
	}
	return string(r.Type) + " (" + r.Unit + ")"
}

func (r Row) defaultText() string {
	switch {
	case r.Default != "":
		return shortenDuration(r.Default)
	case r.Optional:
		return "empty"
	default:
		return "required"
	}
}

func (r Row) rangeText() string {
	switch r.Type {
	case TypeDuration, TypeInteger:
		return shortenDuration(r.Min) + " to " + shortenDuration(r.Max)
	case TypeChoice:
		return strings.Join(r.Choices, ", ")
	default:
		return ""
	}
}
