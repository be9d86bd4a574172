package rattanoverload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rattanlever/rattanlever/rattanprocess"
)

const (
	// kindCallers is the number of callers in the tests of single kinds of requests.
	kindCallers = 300
	// extensionBytes is the size of the extension of a chunk, trailerBytes that of a
	// trailer.
	extensionBytes = 4000
	trailerBytes   = 4000
	// pipelined is the number of requests that a caller sends without reading answers.
	pipelined = 20000
	// reuses is how often a caller sends a body on the same connection.
	reuses = 20
)

// manySteps returns a valid job of as many steps as a job can have.
func manySteps() []byte {
	const steps, step = 1000, `{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":20}`
	return []byte(`{"spec":"s","best_effort":true,"steps":[` + strings.Repeat(step+",", steps-1) + step + `]}`)
}

// longSpec returns a valid job whose specification is as long as it can be, and whose
// many steps have long lists of earlier steps.
func longSpec() []byte {
	const steps, listed = 100, 400
	step := `{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":20,"after":[` + strings.Repeat("0,", listed) + `0]}`
	return []byte(`{"spec":"` + strings.Repeat("s", 4000) + `","best_effort":true,"steps":[{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":20},` + strings.Repeat(step+",", steps-2) + step + `]}`)
}

// TestKindDecodedJobs guards against valid jobs that exceed the machine's memory once
// they are decoded.
func TestKindDecodedJobs(t *testing.T) {
	body := manySteps()
	testKind(t, func(_ context.Context, c *connection) error {
		head := c.head(fmt.Sprintf("Content-Length: %d", len(body)))
		_, err := c.Write(append([]byte(head), body...))
		return err
	})
}

// TestKindOtherMethods guards against bodies of requests that are no submissions.
func TestKindOtherMethods(t *testing.T) {
	body := paddedJob(bodyBytes)
	requests := []struct{ method, path string }{
		{http.MethodGet, rattanprocess.Prefix},
		{http.MethodPut, rattanprocess.Prefix},
		{http.MethodDelete, rattanprocess.Prefix},
		{http.MethodPost, "/unknown/"},
		{http.MethodDelete, "/unknown/"},
	}
	startSystem(t, machineDescriptors).testMachine(crowd{callers: kindCallers, newCaller: func(i int) caller {
		kind := requests[i%len(requests)]
		return func(_ context.Context, c *connection) error {
			head := request(kind.method, kind.path+newJobID(c.checker), fmt.Sprintf("Content-Length: %d", len(body)))
			_, err := c.Write(append([]byte(head), body[:len(body)-missingBytes]...))
			return err
		}
	}}, nil)
}

// TestKindExtensions guards against chunks whose extensions are larger than their data.
func TestKindExtensions(t *testing.T) {
	var encoded bytes.Buffer
	for encoded.Len() < bodyBytes {
		fmt.Fprintf(&encoded, "1;x=%s\r\n \r\n", strings.Repeat("x", extensionBytes))
	}
	testKind(t, chunks(encoded.Bytes(), false))
}

// TestKindTrailers guards against large trailers that do not end.
func TestKindTrailers(t *testing.T) {
	encoded := append(encodeChunks(paddedJob(bodyBytes), largeChunk), "0\r\nX-Filler: "+strings.Repeat("x", trailerBytes)...)
	testKind(t, chunks(encoded, false))
}

// TestKindReuse guards against callers that use a connection again after a refusal.
func TestKindReuse(t *testing.T) {
	body := paddedJob(bodyBytes)
	testKind(t, func(ctx context.Context, c *connection) error {
		for range reuses {
			head := c.head(fmt.Sprintf("Content-Length: %d", len(body)))
			if _, err := c.Write(append([]byte(head), body...)); err != nil {
				return err
			}
		}
		return ctx.Err()
	})
}

// TestKindUnreadAnswers guards against callers that send requests and read no answer.
func TestKindUnreadAnswers(t *testing.T) {
	requests := strings.Repeat(request(http.MethodGet, rattanprocess.Prefix, "X-Filler: x"), pipelined)
	testKind(t, func(ctx context.Context, c *connection) error {
		// The answers on the connection itself are read.
		unread, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.RemoteAddr().String())
		if err != nil {
			return err
		}
		defer func() { _ = unread.Close() }()
		defer context.AfterFunc(ctx, func() { _ = unread.Close() })()
		if _, err := io.WriteString(unread, requests); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	})
}

// testKind checks the bounds of testMachine while callers send requests of one kind.
func testKind(t *testing.T, c caller) {
	testCallers(t, kindCallers, c)
}

// TestKindManyTasks guards against small bodies whose jobs have as many tasks as a job
// can have.
func TestKindManyTasks(t *testing.T) {
	const manyTasks = `{"spec":"s","best_effort":true,"steps":[{"count":1000,"cpu":100,"mem_mb":1,"estimate_ms":20}]}`
	testKind(t, whole([]byte(manyTasks), 0))
}
