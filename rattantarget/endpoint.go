package rattantarget

import (
	"net/http"
	"net/url"
	"sync"
	"time"
)

// maxUnresolved is the maximum number of unresolved dispatches that are
// recorded for one target. It is far above the number of slots of a target. A
// dispatch that is no longer recorded is never reported as not started.
const maxUnresolved = 1024

// endpoint is the client's state for one target.
type endpoint struct {
	address   string
	tasksURL  *url.URL
	transport *http.Transport

	mu sync.Mutex
	// dispatchTimes maps the task ID of each dispatch that is in progress or
	// unresolved to a time before its first byte was sent.
	dispatchTimes map[string]time.Time
	// unresolved lists the IDs in dispatchTimes that are no longer in progress,
	// oldest first.
	unresolved []string
}

func (c *Client) newEndpoint(address string) *endpoint {
	return &endpoint{
		address:  address,
		tasksURL: &url.URL{Scheme: "http", Host: address, Path: "/v1/tasks"},
		transport: &http.Transport{
			DialContext:         c.dial,
			DisableCompression:  true,
			IdleConnTimeout:     idleTimeout,
			MaxConnsPerHost:     c.options.Connections,
			MaxIdleConnsPerHost: c.options.Connections,
		},
		dispatchTimes: map[string]time.Time{},
	}
}

// addDispatch records that a dispatch is about to be sent.
func (e *endpoint) addDispatch(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatchTimes[id] = time.Now()
}

// endDispatch removes the record of a dispatch unless the dispatch is
// unresolved.
func (e *endpoint) endDispatch(id string, unresolved bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !unresolved {
		delete(e.dispatchTimes, id)
		return
	}
	e.unresolved = append(e.unresolved, id)
	if len(e.unresolved) > maxUnresolved {
		delete(e.dispatchTimes, e.unresolved[0])
		e.unresolved = e.unresolved[1:]
	}
}

// upSinceDispatch reports whether a target process with the given uptime was
// already running when the task was dispatched.
func (e *endpoint) upSinceDispatch(id string, uptime time.Duration) bool {
	e.mu.Lock()
	dispatched, ok := e.dispatchTimes[id]
	e.mu.Unlock()
	if !ok {
		return false
	}
	// The margin covers monotonic clocks whose rates differ by less than 10%.
	age := time.Since(dispatched)
	return uptime >= age+age/10
}
