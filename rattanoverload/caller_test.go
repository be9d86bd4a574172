package rattanoverload

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rattanlever/rattanlever/rattanprocess"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	maxBodyBytes = 262144
	// bodyBytes is the size of the bodies, missingBytes the part that a caller who
	// stops short does not send.
	bodyBytes    = 262000
	missingBytes = 10
	// repeatDelay is how long a caller waits after the end of its connection.
	repeatDelay = 100 * time.Millisecond
	pieceBytes  = 16000
	pieceDelay  = 20 * time.Millisecond
	largeChunk  = 32000
	smallChunk  = 1
)

// caller writes one request on a connection. It returns once it has written what it
// wants to, or when the context ends.
type caller func(ctx context.Context, connection *connection) error

// connection is the connection of one caller.
type connection struct {
	net.Conn
	checker *rattansite.InvariantChecker
	// id is the ID of the job that was sent, "" if none was.
	id string
}

// head returns the head of a request that submits a job with a new ID.
func (c *connection) head(framing string) string {
	c.id = newJobID(c.checker)
	return request(http.MethodPost, rattanprocess.Prefix+c.id, framing)
}

// request returns the head of a request.
func request(method, path, framing string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 4000\r\n%s\r\n\r\n", method, path, rattanprocess.Host, framing)
}

// newJobID returns the ID of a new job and tells the checker of it.
func newJobID(checker *rattansite.InvariantChecker) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	checker.JobSubmitted(id, rattansite.TaskProfile{MilliCPU: jobMilliCPU, Duration: jobTime})
	return id
}

// recordRefusal tells the checker that a job was refused if the status says so.
func recordRefusal(checker *rattansite.InvariantChecker, id string, status int) {
	switch status {
	case http.StatusRequestEntityTooLarge, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		checker.JobRefused(id)
	}
}

// repeat sends requests to the address until the context ends, each on its own
// connection, which it leaves open until the instance closes it.
func (c caller) repeat(ctx context.Context, address string, checker *rattansite.InvariantChecker) {
	for ctx.Err() == nil {
		c.once(ctx, address, checker)
		select {
		case <-ctx.Done():
		case <-time.After(repeatDelay):
		}
	}
}

func (c caller) once(ctx context.Context, address string, checker *rattansite.InvariantChecker) {
	dialed, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	connection := &connection{Conn: dialed, checker: checker}
	defer func() { _ = connection.Close() }()
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	answered := make(chan int, 1)
	go func() {
		status := 0
		response, err := http.ReadResponse(bufio.NewReaderSize(connection, 512), nil)
		if err == nil {
			status = response.StatusCode
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		// A caller that is answered or cut off does not go on writing.
		_ = connection.Close()
		answered <- status
	}()
	_ = c(ctx, connection)
	recordRefusal(checker, connection.id, <-answered)
}

// job is a job of one short task, jobMilliCPU and jobTime are what that takes.
const (
	job         = `{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":20}]}`
	jobMilliCPU = 100
	jobTime     = 20 * time.Millisecond
)

// paddedJob returns a job in a body of the size.
func paddedJob(size int) []byte {
	return append(bytes.Repeat([]byte(" "), size-len(job)), job...)
}

// emptySteps returns a body of the size whose steps take many times its size once
// they are decoded.
func emptySteps(size int) []byte {
	const start, step, end = `{"best_effort":true,"steps":[{}`, `,{}`, `]}`
	return []byte(start + strings.Repeat(step, (size-len(start)-len(end))/len(step)) + end)
}

// whole returns a caller that sends the body at once, without its last bytes.
func whole(body []byte, missing int) caller {
	return func(_ context.Context, connection *connection) error {
		head := connection.head(fmt.Sprintf("Content-Length: %d", len(body)))
		_, err := connection.Write(append([]byte(head), body[:len(body)-missing]...))
		return err
	}
}

// pieces returns a caller that sends the body piece by piece, without its last
// bytes.
func pieces(body []byte, missing int) caller {
	return func(ctx context.Context, connection *connection) error {
		if _, err := io.WriteString(connection, connection.head(fmt.Sprintf("Content-Length: %d", len(body)))); err != nil {
			return err
		}
		for rest := body[:len(body)-missing]; len(rest) > 0 && ctx.Err() == nil; {
			piece := rest[:min(len(rest), pieceBytes)]
			if _, err := connection.Write(piece); err != nil {
				return err
			}
			rest = rest[len(piece):]
			time.Sleep(pieceDelay)
		}
		return ctx.Err()
	}
}

// encodeChunks returns the encoding of the body in chunks of the size, without the
// last chunk.
func encodeChunks(body []byte, size int) []byte {
	var encoded bytes.Buffer
	for len(body) > 0 {
		chunk := body[:min(len(body), size)]
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", len(chunk), chunk)
		body = body[len(chunk):]
	}
	return encoded.Bytes()
}

// chunks returns a caller that sends encoded chunks and the end of the body if it is
// complete.
func chunks(encoded []byte, complete bool) caller {
	return func(_ context.Context, connection *connection) error {
		if _, err := io.WriteString(connection, connection.head("Transfer-Encoding: chunked")); err != nil {
			return err
		}
		if _, err := connection.Write(encoded); err != nil || !complete {
			return err
		}
		_, err := io.WriteString(connection, "0\r\n\r\n")
		return err
	}
}

// partialHead is a caller that sends a part of a large header and stops.
func partialHead(_ context.Context, connection *connection) error {
	_, err := io.WriteString(connection, "POST "+rattanprocess.Prefix+" HTTP/1.1\r\nHost: "+rattanprocess.Host+"\r\nX-Filler: "+strings.Repeat("x", 15000))
	return err
}

// idle is a caller that opens a connection and sends nothing.
func idle(context.Context, *connection) error {
	return nil
}

// ordinaryStatus sends one ordinary request and returns the status of the answer, 0
// if there is none.
func ordinaryStatus(instance *rattanprocess.Instance, checker *rattansite.InvariantChecker) int {
	id := newJobID(checker)
	request, err := instance.NewRequest(context.Background(), http.MethodPost, rattanprocess.Prefix+id, []byte(job), 4*time.Second)
	if err != nil {
		return 0
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	recordRefusal(checker, id, response.StatusCode)
	return response.StatusCode
}
