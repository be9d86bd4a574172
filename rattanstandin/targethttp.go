package rattanstandin

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattantarget"
)

// errInvalidDispatch reports a dispatch without an ID or a valid lease.
const errInvalidDispatch = errors.ConstError("ID and a Lease of more than 0s are required")

// maxDispatchBodySize is the maximum size of the body of a dispatch.
const maxDispatchBodySize = 4 << 20

// discardLogger discards the HTTP server's messages about broken connections,
// which are expected with injected faults.
var discardLogger = log.New(io.Discard, "", 0)

var bufferPool = sync.Pool{New: func() any { return &bytes.Buffer{} }}

func serveUntilClosed(server *http.Server, listener net.Listener, done chan<- struct{}) {
	_ = server.Serve(listener)
	close(done)
}

// handler serves the task API for the given incarnation of the target.
func (t *Target) handler(incarnation int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/v1/tasks" {
			t.serveDispatch(w, r, incarnation)
			return
		}
		t.serveOther(w, r)
	})
}

func (t *Target) serveOther(w http.ResponseWriter, r *http.Request) {
	id, hasID := strings.CutPrefix(r.URL.Path, "/v1/tasks/")
	switch {
	case r.Method == http.MethodGet && hasID:
		writeJSON(w, http.StatusOK, t.inspect(time.Now(), id))
	case r.Method == http.MethodDelete && hasID:
		writeJSON(w, http.StatusOK, t.stop(time.Now(), id, r.URL.RawQuery == rattantarget.UnlessStartedQuery))
	case r.Method == http.MethodGet && r.URL.Path == "/v1/usage":
		writeJSON(w, http.StatusOK, t.delayedUsage(time.Now()))
	default:
		http.NotFound(w, r)
	}
}

func (t *Target) serveDispatch(w http.ResponseWriter, r *http.Request, incarnation int) {
	dispatch, err := readDispatch(w, r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, rattantarget.ErrorResponse{NotStarted: true, Reason: err.Error()})
		return
	}
	task, rejection := t.dispatch(time.Now(), incarnation, dispatch)
	switch {
	case task == nil && rejection == nil:
		panic(http.ErrAbortHandler)
	case rejection != nil && !rejection.NotStarted:
		writeJSON(w, http.StatusInternalServerError, rejection)
		return
	case rejection != nil:
		writeJSON(w, http.StatusTooManyRequests, rejection)
		return
	}
	if task.done != nil {
		select {
		case <-task.done:
		case <-r.Context().Done():
			return
		}
	}
	t.writeTaskResult(w, task)
}

// writeTaskResult writes the response to the dispatch of a finished task. No lock
// is needed, because a finished task no longer changes.
func (t *Target) writeTaskResult(w http.ResponseWriter, finished *task) {
	switch {
	case finished.killed:
		panic(http.ErrAbortHandler)
	case !finished.started:
		writeJSON(w, http.StatusServiceUnavailable, rattantarget.ErrorResponse{NotStarted: true, Reason: finished.reason})
	case finished.failed:
		writeJSON(w, http.StatusInternalServerError, rattantarget.ErrorResponse{Stopped: finished.state == rattantarget.TaskStateStopped, Reason: finished.reason})
	default:
		writeJSON(w, http.StatusOK, rattantarget.Result{ID: finished.id, Payload: finished.payload})
	}
}

func readDispatch(w http.ResponseWriter, r *http.Request) (*rattantarget.Dispatch, error) {
	buffer, _ := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(buffer)
	buffer.Reset()
	if _, err := buffer.ReadFrom(http.MaxBytesReader(w, r.Body, maxDispatchBodySize)); err != nil {
		return nil, err
	}
	dispatch := &rattantarget.Dispatch{}
	if err := json.Unmarshal(buffer.Bytes(), dispatch); err != nil {
		return nil, err
	}
	if dispatch.ID == "" || dispatch.Lease <= 0 {
		return nil, errInvalidDispatch
	}
	return dispatch, nil
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	buffer, _ := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(buffer)
	buffer.Reset()
	if err := json.NewEncoder(buffer).Encode(body); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header["Date"] = nil
	header["Content-Type"] = jsonContentType
	header["Content-Length"] = []string{strconv.Itoa(buffer.Len())}
	w.WriteHeader(status)
	_, _ = w.Write(buffer.Bytes())
}

var jsonContentType = []string{"application/json"}
