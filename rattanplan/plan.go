package rattanplan

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanconfig"
	"github.com/rattanlever/rattanlever/rattanjson"
)

// ErrNothing reports an intent that changes nothing.
const ErrNothing = errors.ConstError("the intent changes nothing")

const (
	// propagation is the time in which a change is in force everywhere.
	propagation = 2 * time.Second
	// drainDelay is the time after which a leaving target gets no new work.
	drainDelay = 3 * time.Second
	// Lifetime is the time after which a plan can no longer be confirmed,
	// because its figures describe the load at the time it was made.
	Lifetime = time.Hour
	// idBytes makes a collision of two plans' IDs unlikely: 96 bits.
	idBytes = 12
)

// State is where a plan stands.
type State int

// The states of a plan.
const (
	StateOpen State = iota
	StateConfirmed
	StateAbandoned
	stateCount
)

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a state.
func (s *State) UnmarshalText(text []byte) (err error) {
	*s, err = rattanjson.ParseEnum(text, stateCount)
	return err
}

// Plan says what an intent will do. It is a value: the functions of this
// package return changed copies.
type Plan struct {
	// ID becomes the RequestID of the revision that the plan makes.
	ID     string
	State  State
	MadeAt time.Time
	// Revision is that of the document for which the plan was made.
	Revision uint64
	Intent   Intent
	// Summary is one sentence.
	Summary string
	// Effects say in sentences what will happen.
	Effects []string
	// Affected names who notices, such as "caller app".
	Affected []string
	// Expected is the time from confirmation until all effects have happened.
	Expected rattanjson.Duration
	Cost     Cost
	// Warnings say in sentences what the operator should know before
	// confirming.
	Warnings []string
	Changes  []rattanconfig.Change
	// Outstanding counts the units that must end before the plan is done:
	// tasks on a drained target, jobs of a drained instance or a retired
	// entry, slots above a quota.
	Outstanding int
	// ConfirmedRevision is the revision that the plan made; 0 while not
	// confirmed.
	ConfirmedRevision uint64 `json:",omitempty"`
	// EndedAt is when the plan was confirmed or abandoned.
	EndedAt *time.Time `json:",omitempty"`
	// Base is the document for which the plan was made; a stale plan shows its
	// difference to the present one.
	Base rattanconfig.Document
}

// Cost is what a plan may cost at the present load.
type Cost struct {
	// SlotsLost counts the slots that go out of use; negative for a gain.
	SlotsLost int
	SlotsLeft int
	// UtilisationBefore and UtilisationAfter are the parts of the slots that
	// the present work occupies; a value above 1 means that work must wait or
	// be refused. The values after the plan are 0 when no slot is left.
	UtilisationBefore float64
	UtilisationAfter  float64
	// BacklogBefore and BacklogAfter are the times in which all slots would
	// work off the present backlog.
	BacklogBefore rattanjson.Duration
	BacklogAfter  rattanjson.Duration
	// Delayed is the slot time of waiting tasks that will wait longer.
	Delayed rattanjson.Duration
}

// Make returns the plan for an intent at the present document and load. The
// errors are ErrIntent, ErrNothing and rattanconfig.ErrDocument.
func Make(now time.Time, document rattanconfig.Document, intent Intent, facts ClusterStatus) (Plan, error) {
	after, err := next(document, intent)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{
		MadeAt:   now,
		Revision: document.Revision,
		Intent:   intent,
		Expected: rattanjson.Duration(propagation),
		Changes:  rattanconfig.Changes(document, after),
		Base:     document,
	}
	if len(plan.Changes) == 0 {
		return Plan{}, errors.WithType(errors.Errorf("%v %s", intent.Kind, intent.Name), ErrNothing)
	}
	plan.ID, err = identify(now, document.Revision, intent)
	if err != nil {
		return Plan{}, err
	}
	plan.estimate(after, facts)
	return plan, nil
}

// next returns the document with the intent, at the same revision.
func next(document rattanconfig.Document, intent Intent) (rattanconfig.Document, error) {
	if err := intent.Check(); err != nil {
		return rattanconfig.Document{}, err
	}
	after := document.Clone()
	if err := intent.apply(&after); err != nil {
		return rattanconfig.Document{}, err
	}
	if err := rattanconfig.Check(after); err != nil {
		return rattanconfig.Document{}, err
	}
	// Encode refuses a document that is too large for the platform.
	if _, err := rattanconfig.Encode(after); err != nil {
		return rattanconfig.Document{}, err
	}
	return after, nil
}

// identify returns an ID that two plans share only when they were made at the
// same time for the same revision and intent, so that sharing it is harmless.
func identify(now time.Time, revision uint64, intent Intent) (string, error) {
	text, err := json.Marshal(intent)
	if err != nil {
		return "", errors.Trace(err)
	}
	text = binary.BigEndian.AppendUint64(text, uint64(now.UnixNano()))
	text = binary.BigEndian.AppendUint64(text, revision)
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:idBytes]), nil
}

// Text returns the plan for people.
func (p Plan) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "Plan %s for revision %d (%v)\n%s\n", p.ID, p.Revision, p.State, p.Summary)
	writeList(&text, "What will happen", p.Effects)
	writeList(&text, "Who notices", p.Affected)
	writeList(&text, "How long", []string{"Expected to be complete " + around(p.Expected.Std()) + " after confirmation."})
	writeList(&text, "Cost at the present load", p.Cost.sentences())
	writeList(&text, "Warnings", p.Warnings)
	lines := make([]string, 0, len(p.Changes))
	for _, change := range p.Changes {
		lines = append(lines, change.String())
	}
	writeList(&text, "Changes to the configuration", lines)
	return text.String()
}

func (c Cost) sentences() []string {
	if c == (Cost{}) {
		return []string{"None."}
	}
	var sentences []string
	if c.Delayed > 0 {
		sentences = append(sentences, fmt.Sprintf("Waiting tasks with %s of slot time are delayed.", around(c.Delayed.Std())))
	}
	switch {
	case c.SlotsLost > 0:
		sentences = append(sentences, fmt.Sprintf("%s go out of use.", count(c.SlotsLost, "slot")))
	case c.SlotsLost < 0:
		sentences = append(sentences, fmt.Sprintf("%s come into use.", count(-c.SlotsLost, "slot")))
	}
	if c.SlotsLost == 0 {
		return sentences
	}
	if c.SlotsLeft == 0 {
		return append(sentences, "No slot is left for the present work.")
	}
	sentences = append(sentences, fmt.Sprintf("The present work occupies %s of the slots, and %s afterwards.", percent(c.UtilisationBefore), percent(c.UtilisationAfter)))
	if c.BacklogBefore > 0 {
		sentences = append(sentences, fmt.Sprintf("The backlog is worth %s of all slots, and %s afterwards.", around(c.BacklogBefore.Std()), around(c.BacklogAfter.Std())))
	}
	return sentences
}

func writeList(text *strings.Builder, title string, lines []string) {
	if len(lines) == 0 {
		return
	}
	text.WriteString(title + ":\n")
	for _, line := range lines {
		text.WriteString("  - " + line + "\n")
	}
}

func percent(part float64) string {
	return fmt.Sprintf("%.1f%%", 100*part)
}

func count(number int, unit string) string {
	if number == 1 {
		return "1 " + unit
	}
	return fmt.Sprintf("%d %ss", number, unit)
}

// around rounds a duration to what matters to people.
func around(duration time.Duration) string {
	unit := time.Second
	if duration < 10*time.Second {
		unit = 100 * time.Millisecond
	}
	return duration.Round(unit).String()
}
