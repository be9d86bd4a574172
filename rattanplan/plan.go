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

// ErrNoChange is returned for an intent that does not change the document.
const ErrNoChange = errors.ConstError("the intent changes nothing")

const (
	// propagationDelay is the maximum time until a change is in force on all
	// instances.
	propagationDelay = 2 * time.Second
	// drainDelay is the maximum time until a draining target or instance gets
	// no new work.
	drainDelay = 3 * time.Second
	// Lifetime is the time after which a plan can no longer be confirmed,
	// because its estimates are based on the load when it was made.
	Lifetime = time.Hour
	// planIDBytes is the length of a plan ID: 96 bits, which makes a collision
	// of two plan IDs unlikely.
	planIDBytes = 12
)

// State is the state of a plan.
type State int

// States of a plan.
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

// Plan describes the effects of an intent. Plans are values: the functions of
// this package return modified copies.
type Plan struct {
	// ID becomes the RequestID of the revision that the plan produces.
	ID     string
	State  State
	MadeAt time.Time
	// Revision is the revision of the document that the plan was made for.
	Revision uint64
	Intent   Intent
	// Summary describes the plan in one sentence.
	Summary string
	// Effects are sentences that describe what will happen.
	Effects []string
	// Affected lists who is affected, such as "caller app".
	Affected []string
	// Expected is the expected time from the confirmation until all effects
	// have taken place.
	Expected rattanjson.Duration
	Cost     Cost
	// Warnings are sentences that the operator should read before confirming.
	Warnings []string
	Changes  []rattanconfig.Change
	// Outstanding is the amount of work that must end before the plan is
	// complete: tasks on a drained target, jobs of a drained instance or a
	// retired entry, or slots above a quota.
	Outstanding int
	// ConfirmedRevision is the revision that the plan produced, or 0 if the
	// plan is not confirmed.
	ConfirmedRevision uint64 `json:",omitempty"`
	// EndedAt is the time when the plan was confirmed or abandoned.
	EndedAt *time.Time `json:",omitempty"`
	// Base is the document that the plan was made for. It is compared with the
	// current document when the plan is stale.
	Base rattanconfig.Document
}

// Cost is the expected cost of a plan at the current load.
type Cost struct {
	// SlotsLost is the number of slots taken out of use; it is negative if
	// slots are added.
	SlotsLost int
	SlotsLeft int
	// UtilisationBefore and UtilisationAfter are the fractions of the slots
	// that the current work occupies. Above 1, work must wait or is refused.
	// The values after the plan are 0 if no slot is left.
	UtilisationBefore float64
	UtilisationAfter  float64
	// BacklogBefore and BacklogAfter are the times that all slots together need
	// to process the current backlog.
	BacklogBefore rattanjson.Duration
	BacklogAfter  rattanjson.Duration
	// Delayed is the total run time of the waiting tasks that the plan delays.
	Delayed rattanjson.Duration
}

// Make returns the plan for an intent, given the current document and load. It
// returns ErrInvalidIntent, ErrNoChange or rattanconfig.ErrInvalidDocument.
func Make(now time.Time, document rattanconfig.Document, intent Intent, status ClusterStatus) (Plan, error) {
	after, err := applyIntent(document, intent)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{
		MadeAt:   now,
		Revision: document.Revision,
		Intent:   intent,
		Expected: rattanjson.Duration(propagationDelay),
		Changes:  rattanconfig.Changes(document, after),
		Base:     document,
	}
	if len(plan.Changes) == 0 {
		return Plan{}, errors.WithType(errors.Errorf("%v %s", intent.Kind, intent.Name), ErrNoChange)
	}
	plan.ID, err = newPlanID(now, document.Revision, intent)
	if err != nil {
		return Plan{}, err
	}
	plan.estimate(after, status)
	return plan, nil
}

// applyIntent returns a copy of the document with the intent applied, at the
// same revision.
func applyIntent(document rattanconfig.Document, intent Intent) (rattanconfig.Document, error) {
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
	// Encode returns an error if the document is too large for the platform.
	if _, err := rattanconfig.Encode(after); err != nil {
		return rattanconfig.Document{}, err
	}
	return after, nil
}

// newPlanID returns a hash of the time, revision and intent. Two plans share an
// ID only if all three are equal, in which case the plans are interchangeable.
func newPlanID(now time.Time, revision uint64, intent Intent) (string, error) {
	text, err := json.Marshal(intent)
	if err != nil {
		return "", errors.Trace(err)
	}
	text = binary.BigEndian.AppendUint64(text, uint64(now.UnixNano()))
	text = binary.BigEndian.AppendUint64(text, revision)
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:planIDBytes]), nil
}

// Text returns a human-readable description of the plan.
func (p Plan) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "Plan %s for revision %d (%v)\n%s\n", p.ID, p.Revision, p.State, p.Summary)
	writeList(&text, "What will happen", p.Effects)
	writeList(&text, "Who notices", p.Affected)
	writeList(&text, "How long", []string{"Expected to be complete " + roundDuration(p.Expected.Std()) + " after confirmation."})
	writeList(&text, "Cost at the present load", p.Cost.describe())
	writeList(&text, "Warnings", p.Warnings)
	lines := make([]string, 0, len(p.Changes))
	for _, change := range p.Changes {
		lines = append(lines, change.String())
	}
	writeList(&text, "Changes to the configuration", lines)
	return text.String()
}

func (c Cost) describe() []string {
	if c == (Cost{}) {
		return []string{"None."}
	}
	var sentences []string
	if c.Delayed > 0 {
		sentences = append(sentences, fmt.Sprintf("Waiting tasks with %s of slot time are delayed.", roundDuration(c.Delayed.Std())))
	}
	switch {
	case c.SlotsLost > 0:
		sentences = append(sentences, fmt.Sprintf("%s go out of use.", pluralize(c.SlotsLost, "slot")))
	case c.SlotsLost < 0:
		sentences = append(sentences, fmt.Sprintf("%s come into use.", pluralize(-c.SlotsLost, "slot")))
	}
	if c.SlotsLost == 0 {
		return sentences
	}
	if c.SlotsLeft == 0 {
		return append(sentences, "No slot is left for the present work.")
	}
	sentences = append(sentences, fmt.Sprintf("The present work occupies %s of the slots, and %s afterwards.", formatPercent(c.UtilisationBefore), formatPercent(c.UtilisationAfter)))
	if c.BacklogBefore > 0 {
		sentences = append(sentences, fmt.Sprintf("The backlog is worth %s of all slots, and %s afterwards.", roundDuration(c.BacklogBefore.Std()), roundDuration(c.BacklogAfter.Std())))
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

func formatPercent(fraction float64) string {
	return fmt.Sprintf("%.1f%%", 100*fraction)
}

func pluralize(quantity int, noun string) string {
	if quantity == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", quantity, noun)
}

// roundDuration rounds a duration for display.
func roundDuration(duration time.Duration) string {
	unit := time.Second
	if duration < 10*time.Second {
		unit = 100 * time.Millisecond
	}
	return duration.Round(unit).String()
}
