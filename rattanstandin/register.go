package rattanstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanplatform"
)

// ErrRegister says that a stand-in platform did not take in instances.
const ErrRegister = errors.ConstError("instances not registered")

// RegisterInstances adds instances to the list of the stand-in platform at the
// address, or replaces those of the same name.
func RegisterInstances(ctx context.Context, address string, instances []rattanplatform.Instance) error {
	body, err := json.Marshal(InstanceChange{Set: instances})
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/control/instances", bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.WithType(err, ErrRegister)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.WithType(errors.Errorf("status %d", response.StatusCode), ErrRegister)
	}
	return nil
}
