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
	for _, definition := range definitions {
		page.WriteString("| `" + definition.Key + "` | " + definition.typeText() + " | " + definition.defaultText() + " | " + definition.rangeText() + " | " + definition.Description + " |\n")
	}
	return page.String()
}

func (d Definition) typeText() string {
	if d.Unit == "" {
		return string(d.Type)
	}
	return string(d.Type) + " (" + d.Unit + ")"
}

func (d Definition) defaultText() string {
	switch {
	case d.Default != "":
		return shortenDuration(d.Default)
	case d.Optional:
		return "empty"
	default:
		return "required"
	}
}

func (d Definition) rangeText() string {
	switch d.Type {
	case TypeDuration, TypeInteger:
		return shortenDuration(d.Min) + " to " + shortenDuration(d.Max)
	case TypeChoice:
		return strings.Join(d.Choices, ", ")
	default:
		return ""
	}
}
