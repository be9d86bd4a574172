package rattanzone

import (
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanwork"
)

// ErrMalformedView reports a view that no instance sends.
const ErrMalformedView = errors.ConstError("malformed view")

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
	return &view, nil
}

func (c *Claim) isValid() bool {
	return c.Zone != "" && c.Name != "" && c.FencingToken > 0 && c.FencingToken <= maxFencingToken && c.Age >= 0
}

// validTargets leaves out targets that another instance should not have taken over.
func validTargets(targets []rattanwork.Target) []rattanwork.Target {
	return slices.DeleteFunc(targets, func(target rattanwork.Target) bool { return target.Check() != nil })
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
