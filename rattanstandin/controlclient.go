package rattanstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// PostInstanceChange sends a change of the instance list to the control interface
// of a simulated platform in another process.
func PostInstanceChange(ctx context.Context, platformAddress string, change InstanceChange) error {
	body, err := json.Marshal(change)
	if err != nil {
		return errors.Trace(err)
	}
	url := "http://" + platformAddress + "/control/instances"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Annotatef(err, "platform %q", platformAddress)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Annotatef(err, "platform %q", platformAddress)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return nil
	}
	responseBody, _ := io.ReadAll(io.LimitReader(response.Body, maxControlBodySize))
	return errors.Errorf("platform %q: status %d: %s", platformAddress, response.StatusCode, bytes.TrimSpace(responseBody))
}
