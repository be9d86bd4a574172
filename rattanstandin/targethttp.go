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

// errDispatch reports a dispatch that the interface does not allow.
const errDispatch = errors.ConstError("ID and a Lease of more than 0s are required")

// maxDispatchSize bounds the body of a dispatch.
const maxDispatchSize = 4 << 20

// quietLog drops the HTTP server's lines about broken connections, which are
// expected here.
var quietLog = log.New(io.Discard, "", 0)

var buffers = sync.Pool{New: func() any { return &bytes.Buffer{} }}

func serveUntilClosed(server *http.Server, listener net.Listener, served chan<- struct{}) {
	_ = server.Serve(listener)
	close(served)
}

// handler returns the task interface of one process of the target.
func (t *Target) handler(incarnation int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/v1/tasks" {
			t.servePost(w, r, incarnation)
			return
		}
		t.serveQuery(w, r)
	})
}

func (t *Target) serveQuery(w http.ResponseWriter, r *http.Request) {
	id, named := strings.CutPrefix(r.URL.Path, "/v1/tasks/")
	switch {
	case r.Method == http.MethodGet && named:
		answer(w, http.StatusOK, t.inspect(time.Now(), id))
	case r.Method == http.MethodDelete && named:
		answer(w, http.StatusOK, t.stop(time.Now(), id))
	case r.Method == http.MethodGet && r.URL.Path == "/v1/usage":
		answer(w, http.StatusOK, t.report(time.Now()))
	default:
		http.NotFound(w, r)
	}
}

func (t *Target) servePost(w http.ResponseWriter, r *http.Request, incarnation int) {
	dispatch, err := readDispatch(w, r)
	if err != nil {
		answer(w, http.StatusBadRequest, rattantarget.ErrorResponse{NotStarted: true, Reason: err.Error()})
		return
	}
	task, rejection := t.dispatch(time.Now(), incarnation, dispatch)
	switch {
	case task == nil && rejection == nil:
		panic(http.ErrAbortHandler)
	case rejection != nil && !rejection.NotStarted:
		answer(w, http.StatusInternalServerError, rejection)
		return
	case rejection != nil:
		answer(w, http.StatusTooManyRequests, rejection)
		return
	}
	if task.done != nil {
		select {
		case <-task.done:
		case <-r.Context().Done():
			return
		}
	}
	t.answerTask(w, task)
}

// answerTask answers the dispatch of a task that has ended; an ended task no
// longer changes.
func (t *Target) answerTask(w http.ResponseWriter, ended *task) {
	switch {
	case ended.lost:
		panic(http.ErrAbortHandler)
	case !ended.started:
		answer(w, http.StatusServiceUnavailable, rattantarget.ErrorResponse{NotStarted: true, Reason: ended.reason})
	case ended.failed:
		answer(w, http.StatusInternalServerError, rattantarget.ErrorResponse{Stopped: ended.state == rattantarget.TaskStateStopped, Reason: ended.reason})
	default:
		answer(w, http.StatusOK, rattantarget.Result{ID: ended.id, Payload: ended.payload})
	}
}

func readDispatch(w http.ResponseWriter, r *http.Request) (*rattantarget.Dispatch, error) {
	buffer, _ := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	if _, err := buffer.ReadFrom(http.MaxBytesReader(w, r.Body, maxDispatchSize)); err != nil {
		return nil, err
	}
	dispatch := &rattantarget.Dispatch{}
	if err := json.Unmarshal(buffer.Bytes(), dispatch); err != nil {
		return nil, err
	}
	if dispatch.ID == "" || dispatch.Lease <= 0 {
		return nil, errDispatch
	}
	return dispatch, nil
}

// answer writes a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	buffer, _ := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	if err := json.NewEncoder(buffer).Encode(body); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header["Date"] = nil
	header["Content-Type"] = contentType
	header["Content-Length"] = []string{strconv.Itoa(buffer.Len())}
	w.WriteHeader(status)
	_, _ = w.Write(buffer.Bytes())
}

var contentType = []string{"application/json"}
