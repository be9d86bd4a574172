package rattanzone

import (
	"encoding/json"
	"math"
	"slices"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// Errors of messages that no instance sends.
const (
	ErrMalformedView      = errors.ConstError("malformed view")
	ErrMalformedStartList = errors.ConstError("malformed start list")
)

// maxFencingToken is the highest fencing token that JSON numbers represent exactly.
const maxFencingToken = 1<<53 - 1

// decodeView decodes the view of another instance. Claims and targets in it that
// cannot be valid are left out.
func decodeView(body []byte) (*View, error) {
	var view View
	if err := json.Unmarshal(body, &view); err != nil {
		return nil, errors.WithType(err, ErrMalformedView)
	}
	if view.Sender.Name == "" || view.Sender.Zone == "" {
		return nil, errors.Annotate(ErrMalformedView, "sender without name or zone")
	}
	view.Claims = slices.DeleteFunc(view.Claims, func(claim Claim) bool { return !claim.isValid() })
	view.KeptTargets = validTargets(view.KeptTargets)
	view.SlowTargets = validSlowTargets(view.SlowTargets)
	view.OutstandingStarts = validStarts(view.OutstandingStarts, maxSentStarts)
	view.KeptStarts = validStarts(view.KeptStarts, maxReturnedStarts)
	return &view, nil
}

// decodeStartList decodes the start list of another home. Start requests that no home
// makes are left out.
func decodeStartList(body []byte) (*StartListMessage, error) {
	var message StartListMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return nil, errors.WithType(err, ErrMalformedStartList)
	}
	if message.Zone == "" || message.List.FencingToken <= 0 || message.List.FencingToken > maxFencingToken || message.List.Number <= 0 {
		return nil, errors.Annotate(ErrMalformedStartList, "home not named")
	}
	starts := slices.DeleteFunc(message.List.Starts, func(start rattanhome.ListedStart) bool {
		return !validStart(start.Task, start.Target, start.Attempt)
	})
	message.List.Starts = starts[:min(len(starts), rattanhome.MaxListedStarts)]
	return &message, nil
}

func (c *Claim) isValid() bool {
	return c.Zone != "" && c.Name != "" && c.FencingToken > 0 && c.FencingToken <= maxFencingToken && c.Age >= 0
}

// validTargets leaves out targets that another instance should not have taken over.
func validTargets(targets []rattanwork.Target) []rattanwork.Target {
	return slices.DeleteFunc(targets, func(target rattanwork.Target) bool { return target.Check() != nil })
}

// maxAttempt is the highest attempt that a start request of a home has.
const maxAttempt = math.MaxInt32

// validStarts leaves out start requests that no home makes, and those beyond a limit.
func validStarts(starts []rattanscheduler.OutstandingStart, limit int) []rattanscheduler.OutstandingStart {
	starts = slices.DeleteFunc(starts, func(start rattanscheduler.OutstandingStart) bool {
		return !validStart(start.Task, start.Target, start.Attempt)
	})
	return starts[:min(len(starts), limit)]
}

func validStart(task, target string, attempt int) bool {
	return task != "" && target != "" && attempt > 0 && attempt <= maxAttempt
}

// decodeInventory decodes the inventory of another instance. It returns false if
// there is none.
func decodeInventory(body []byte) (inventoryCopy, bool) {
	var received inventoryCopy
	if json.Unmarshal(body, &received) != nil || received.Revision <= 0 {
		return inventoryCopy{}, false
	}
	received.Targets = validTargets(received.Targets)
	received.Kept = validTargets(received.Kept)
	return received, true
}
