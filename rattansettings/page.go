package rattansettings

import "strings"

const pageHeader = `# Settings

Settings of one entry instance, a JSON object that ` + "`rattanlever entry --config FILE`" + ` reads and ` + "`rattanlever config check FILE`" + ` checks. Durations are strings such as ` + "`\"250ms\"`" + `; names are 1 to 64 letters, digits, dots, underscores or hyphens; addresses are an IP address and a port. This page is generated from the table in ` + "`rattansettings/table.go`" + ` by ` + "`go test ./rattansettings -update`" + `.

| key | type | default | range | description |
|---|---|---|---|---|
`

const serveSection = `
## Settings of the command serve

The platform writes the settings file that ` + "`RATTANLEVER_NODE_FILE`" + ` names. These of its fields bound what an instance holds for callers ([overload.md](operations/overload.md)); all other limits on callers are constants that follow from them.

| field | default | what follows from it |
|---|---|---|
| ` + "`limits.memory_mb`" + ` | 0, unknown: counts as 512 | a twelfth of it (at least 6 MB) for callers' bodies, large headers and decoded jobs, a quarter of that for small requests only; a twelfth (at least 6 MB) for jobs of other instances at the home, a quarter of that for small ones only, and as much again for jobs that the home must decode to decide on; a third of what is beyond 36 MB for connections, 36 KB each (16 in the process, 12 received and not yet read, 8 sent and not yet received); an eighth of what is beyond 36 MB for the tasks of jobs in progress at the home, 1 KB each (at least 2,048 tasks), a quarter of them for jobs of up to 16 tasks only; a 32nd for connections that wait to be accepted (at least 32); a third is the soft limit of the runtime (unless unknown) |
| ` + "`limits.max_fds`" + ` | 0, unknown: counts as 4,096 | of those beyond the 200 that are reserved for files, two thirds for connections of callers; the smaller of the two bounds on connections applies, at least 64; an eighth for start requests under way to targets, and as much for stop requests, at least 32 |

| constant | value | where |
|---|---|---|
| small request | body of up to 16,384 bytes, received within 1 s | rattanlimit/progress.go |
| progress of a body | 4,096 bytes or the rest within each 10 s | rattanlimit/progress.go |
| whole body | 60 s | rattanlimit/progress.go |
| without progress, closed if others need the room | 1 s | rattanlimit/progress.go |
| reads of less than 1,024 bytes | 4 for each body, then 500 a second for all bodies together, 400 at once | rattanlimit/bodies.go |
| wait for a small body that is not read (GET, DELETE, unknown queue) | 10 s | rattanlimit/bodies.go |
| write of an answer to a caller that does not read | 10 s | rattanlimit/connections.go |
| header | 16,384 bytes and 4,096 that net/http adds, within 3 s; beyond 4,096 bytes each counts twice against the bytes for callers | rattannode/node.go, rattanlimit/connections.go |
| idle connection | 60 s | rattannode/node.go |
| receive buffer and send buffer of a connection | 8,192 and 4,096 bytes requested; the kernel holds up to 12,288 received and 8,192 sent bytes | rattanlimit/listen.go |
| backlog of the readiness and the metrics endpoint | 64 each | rattannode/limits.go |
| connections to the readiness and the metrics endpoint | 64 each | rattannode/limits.go |
| memory of a home for jobs that have ended, for truthful refusals | 30 s to 60 s, 65,536 jobs | rattanhome/presence.go |
| questions to other homes about jobs that are refused | 200 a second, 100 at once, 150 ms each | rattanfront/presence.go |
| size of a body without ` + "`max_body_bytes`" + ` in the desired state | 262,144 bytes | rattanfront/receive.go |
| tasks, and so steps, of a job | 1,000 | platform/submission.go |
`

// Page returns the reference of all settings as a Markdown page.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHeader)
	for _, definition := range definitions {
		page.WriteString("| `" + definition.Key + "` | " + definition.typeText() + " | " + definition.defaultText() + " | " + definition.rangeText() + " | " + definition.Description + " |\n")
	}
	page.WriteString(serveSection)
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
