package rattantarget

import (
	"net/http"
	"net/url"
	"sync"
	"time"
)

// maxUnresolved bounds the unresolved dispatches that are remembered for one
// target. It is far above the slots of a target; a dispatch that is forgotten
// is never reported as not started.
const maxUnresolved = 1024

// endpoint is what the client holds for one target.
type endpoint struct {
	address   string
	tasks     *url.URL
	transport *http.Transport

	mu sync.Mutex
	// sent has the time before the first byte of each dispatch that is in
	// progress or unresolved, by task ID.
	sent map[string]time.Time
	// unresolved are the IDs of sent that are no longer in progress, oldest
	// first.
	unresolved []string
}

func (c *Client) newEndpoint(address string) *endpoint {
	return &endpoint{
		address: address,
		tasks:   &url.URL{Scheme: "http", Host: address, Path: "/v1/tasks"},
		transport: &http.Transport{
			DialContext:         c.dial,
			DisableCompression:  true,
			IdleConnTimeout:     idleTimeout,
			MaxConnsPerHost:     c.options.Connections,
			MaxIdleConnsPerHost: c.options.Connections,
		},
		sent: map[string]time.Time{},
	}
}

// begin records the dispatch of a task.
func (e *endpoint) begin(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent[id] = time.Now()
}

// end forgets a dispatch, unless it is unresolved.
func (e *endpoint) end(id string, unresolved bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !unresolved {
		delete(e.sent, id)
		return
	}
	e.unresolved = append(e.unresolved, id)
	if len(e.unresolved) > maxUnresolved {
		delete(e.sent, e.unresolved[0])
		e.unresolved = e.unresolved[1:]
	}
}

// covers reports whether a target's process that has run for uptime was already
// running when the task was dispatched.
func (e *endpoint) covers(id string, uptime time.Duration) bool {
	e.mu.Lock()
	sent, ok := e.sent[id]
	e.mu.Unlock()
	if !ok {
		return false
	}
	// Monotonic clocks differ in rate by less than 10%.
	age := time.Since(sent)
	return uptime >= age+age/10
}
