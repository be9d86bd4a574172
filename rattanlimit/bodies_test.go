package rattanlimit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
)

const testLimit = 262144

// countingJournal counts what was limited, by cause.
type countingJournal struct {
	mutex  sync.Mutex
	counts [Causes]int
}

func (j *countingJournal) CallerLimited(cause Cause) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.counts[cause]++
}

func (j *countingJournal) count(cause Cause) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.counts[cause]
}

// testServer is a server that answers with the number of bytes of the body.
type testServer struct {
	*qt.C
	budget      *Budget
	journal     *countingJournal
	connections *Connections
	address     string
	// hold is received from before a request with a body is released, unless it is nil.
	hold chan struct{}
}

func newTestServer(t *testing.T, budget *Budget, connections int) *testServer {
	c := qt.New(t)
	s := &testServer{C: c, budget: budget, journal: &countingJournal{}}
	bodies := NewBodies(budget, s.journal, time.Now)
	s.connections = NewConnections(connections, budget, s.journal, time.Now)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			Skip(w, r, time.Now())
			return
		}
		body, held, err := bodies.Receive(w, r, testLimit)
		switch {
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		case err != nil:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer held.Release()
		if s.hold != nil {
			<-s.hold
		}
		_, _ = fmt.Fprint(w, len(body))
	})
	server := httptest.NewUnstartedServer(s.connections.Handler(handler))
	server.Listener = s.connections.Listen(server.Listener)
	server.Config.ConnContext = WithConnection
	server.Config.ConnState = s.connections.StateChanged
	server.Config.ReadHeaderTimeout = 500 * time.Millisecond
	server.Config.MaxHeaderBytes = 16 << 10
	server.Start()
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

func (s *testServer) dial() net.Conn {
	connection, err := net.Dial("tcp", s.address)
	s.Assert(err, qt.IsNil)
	s.Cleanup(func() { _ = connection.Close() })
	return connection
}

// send opens a connection and writes the text.
func (s *testServer) send(text string) net.Conn {
	connection := s.dial()
	_, err := io.WriteString(connection, text)
	s.Assert(err, qt.IsNil)
	return connection
}

// answer returns what the server sends until it closes the connection, and how long
// that took.
func (s *testServer) answer(connection net.Conn) (string, time.Duration) {
	start := time.Now()
	_ = connection.SetReadDeadline(start.Add(20 * time.Second))
	data, _ := io.ReadAll(connection)
	return string(data), time.Since(start)
}

func (s *testServer) waitFor(what string, condition func() bool) {
	s.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.Fatalf("%s: not reached", what)
		}
	}
}

func post(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// TestReceive guards against bodies that are cut, refused without reason or not
// returned to the budget, with and without a stated length.
func TestReceive(t *testing.T) {
	s := newTestServer(t, NewBudget(2<<20, 1<<19), 100)
	for _, size := range []int{0, 1, firstSegment - 1, firstSegment, firstSegment + 1, smallBytes, smallBytes + 1, testLimit, testLimit + 1} {
		for name, body := range map[string]io.Reader{
			"length":  bytes.NewReader(make([]byte, size)),
			"chunked": io.MultiReader(bytes.NewReader(make([]byte, size))),
		} {
			response, err := http.Post("http://"+s.address, "", body)
			comment := qt.Commentf("%s of %d bytes", name, size)
			s.Assert(err, qt.IsNil, comment)
			data, err := io.ReadAll(response.Body)
			s.Assert(err, qt.IsNil, comment)
			if size > testLimit {
				s.Check(response.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge, comment)
			} else {
				s.Check(string(data), qt.Equals, fmt.Sprint(size), comment)
			}
		}
	}
	s.waitFor("release", func() bool { return s.budget.Held() == 0 })
}

// TestSmallChunks guards against a body in chunks of one byte that is not served
// although nothing else is, and against many of them that take the processor from
// others.
func TestSmallChunks(t *testing.T) {
	s := newTestServer(t, NewBudget(64<<20, 0), 100)
	const size = 262000
	request := "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", size) + "0\r\n\r\n"
	send := func() net.Conn {
		connection := s.dial()
		go func() { _, _ = io.WriteString(connection, request) }()
		return connection
	}
	answer, elapsed := s.answer(send())
	s.Check(answer, qt.Contains, fmt.Sprint(size))
	s.Check(elapsed < 3*time.Second, qt.IsTrue, qt.Commentf("%v", elapsed))
	var others []net.Conn
	for range 6 {
		others = append(others, send())
	}
	time.Sleep(time.Second)
	// 6 bodies take 2,300 small reads, of which some 900 are possible by now.
	s.Check(s.budget.Held() > 0, qt.IsTrue)
	served := 0
	for _, other := range others {
		_ = other.SetReadDeadline(time.Now().Add(time.Millisecond))
		if n, _ := other.Read(make([]byte, 1)); n > 0 {
			served++
		}
	}
	s.Check(served <= 3, qt.IsTrue, qt.Commentf("%d bodies served", served))
}

// TestRefusedAtOnce guards against a refusal that waits for the rest of the body, or
// that keeps the connection.
func TestRefusedAtOnce(t *testing.T) {
	s := newTestServer(t, NewBudget(100000, 50000), 100)
	for name, text := range map[string]string{
		"length":           post(200000),
		"part of body":     post(200000) + strings.Repeat("x", 1000),
		"chunked":          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n" + strings.Repeat("x", 60000),
		"too large":        post(testLimit + 1),
		"100-continue":     "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 200000\r\n\r\n",
		"body without use": "DELETE / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n",
	} {
		answer, elapsed := s.answer(s.send(text))
		comment := qt.Commentf("%s: %s after %s", name, answer, elapsed)
		s.Check(answer, qt.Contains, "Connection: close", comment)
		s.Check(answer, qt.Not(qt.Contains), "100 Continue", comment)
		s.Check(elapsed < 400*time.Millisecond, qt.IsTrue, comment)
	}
	s.waitFor("release", func() bool { return s.budget.Held() == 0 })
}

// TestSmallBesideStalled guards against stalled bodies that keep out ordinary requests,
// large or small, and against stalled ones that are kept although others need their
// room.
func TestSmallBesideStalled(t *testing.T) {
	s := newTestServer(t, NewBudget(600000, 100000), 100)
	var stalled []net.Conn
	for range 2 {
		stalled = append(stalled, s.send(post(250000)))
	}
	for range 6 {
		stalled = append(stalled, s.send(post(10000)))
	}
	s.waitFor("reception", func() bool { return s.budget.Held() == 560000 })
	request := func(size int) int {
		response, err := http.Post("http://"+s.address, "", bytes.NewReader(make([]byte, size)))
		s.Assert(err, qt.IsNil, qt.Commentf("answer not received"))
		_ = response.Body.Close()
		return response.StatusCode
	}
	s.Check(request(10000), qt.Equals, http.StatusOK)
	s.Check(request(250000), qt.Equals, http.StatusServiceUnavailable)
	s.waitFor("eviction", func() bool { return request(250000) == http.StatusOK })
	s.Check(s.journal.count(BodyEvicted) > 0, qt.IsTrue)
	for _, connection := range stalled {
		_ = connection.Close()
	}
	s.waitFor("release", func() bool { return s.budget.Held() == 0 })
}

// TestSlowHeaders guards against connections that are kept open by headers that arrive
// byte by byte, and against large ones beyond the budget.
func TestSlowHeaders(t *testing.T) {
	s := newTestServer(t, NewBudget(40000, 0), 100)
	var group sync.WaitGroup
	start := time.Now()
	for range 20 {
		connection := s.dial()
		group.Go(func() {
			for _, next := range []byte(post(0)) {
				if _, err := connection.Write([]byte{next}); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
			s.Error("header accepted")
		})
	}
	group.Wait()
	s.Check(time.Since(start) < 3*time.Second, qt.IsTrue)
	s.waitFor("close", func() bool { return s.connections.Len() == 0 })
	for range 10 {
		s.send("GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 15000))
	}
	s.waitFor("refusal", func() bool { return s.journal.count(HeaderRefused) > 0 })
	s.Check(s.budget.Held() <= 40000, qt.IsTrue)
	s.waitFor("release", func() bool { return s.budget.Held() == 0 && s.connections.Len() == 0 })
}

// TestConnectionBound guards against more connections than the bound, against new ones
// that find no room beside idle ones, and against closing those that serve a request.
func TestConnectionBound(t *testing.T) {
	s := newTestServer(t, NewBudget(1<<20, 0), 4)
	s.hold = make(chan struct{})
	serving := s.send(post(1) + "x")
	s.waitFor("service", func() bool { return s.budget.Held() > 0 })
	for range 3 {
		s.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	s.waitFor("connections", func() bool { return s.connections.Len() == 4 })
	fresh := s.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	answer, _ := s.answer(fresh)
	s.Check(answer, qt.Equals, "", qt.Commentf("connections have been idle for less than a second"))
	time.Sleep(evictAfter + 50*time.Millisecond)
	_, err := fmt.Fprint(s.dial(), "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	s.Assert(err, qt.IsNil)
	s.waitFor("eviction", func() bool { return s.journal.count(ConnectionEvicted) == 1 })
	s.Check(s.connections.Len() <= 4, qt.IsTrue)
	close(s.hold)
	_ = serving.SetReadDeadline(time.Now().Add(5 * time.Second))
	buffer := make([]byte, 100)
	n, _ := serving.Read(buffer)
	s.Check(string(buffer[:n]), qt.Contains, "200 OK")
}

// TestKeepAlive guards against connections that cannot be used again after a request
// whose body was read or skipped.
func TestKeepAlive(t *testing.T) {
	s := newTestServer(t, NewBudget(1<<20, 0), 4)
	connection := s.send(post(5) + "12345DELETE / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n123" + post(1) + "x")
	time.Sleep(300 * time.Millisecond)
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	s.Assert(err, qt.IsNil)
	answer, _ := s.answer(connection)
	s.Check(strings.Count(answer, "200 OK"), qt.Equals, 4, qt.Commentf("%s", answer))
}

// parseRequest returns the request that a server reads from a head and the data after
// it.
func parseRequest(t *testing.T, head string, data []byte) *http.Request {
	request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(head), bytes.NewReader(data))))
	if err != nil {
		t.Fatal(err)
	}
	return request
}

// FuzzReceive guards against a body that is read other than http.Request.Body yields
// it, and against bytes that are not returned to the budget, for any bytes that follow
// a request head.
func FuzzReceive(f *testing.F) {
	f.Add(false, uint16(5), []byte("hello"), uint16(10))
	f.Add(true, uint16(0), []byte("5\r\nhello\r\n0\r\n\r\n"), uint16(10))
	f.Add(true, uint16(0), []byte("5;x=y\r\nhello\r\n0\r\nT: v\r\n\r\n"), uint16(5))
	f.Add(true, uint16(0), []byte("5\r\nhel"), uint16(4))
	f.Add(true, uint16(0), []byte("ffffffffffffffff\r\nhel"), uint16(4))
	f.Add(false, uint16(9), []byte("short"), uint16(100))
	f.Fuzz(func(t *testing.T, chunked bool, length uint16, data []byte, limit uint16) {
		framing := fmt.Sprintf("Content-Length: %d", length)
		if chunked {
			framing = "Transfer-Encoding: chunked"
		}
		head := "POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n"
		want, wantErr := io.ReadAll(parseRequest(t, head, data).Body)
		budget := NewBudget(1<<20, 1<<18)
		bodies := NewBodies(budget, nil, time.Now)
		got, held, err := bodies.Receive(httptest.NewRecorder(), parseRequest(t, head, data), int64(limit))
		switch {
		case err == nil && (wantErr != nil || !bytes.Equal(got, want) || len(got) > int(limit)):
			t.Fatalf("got %q, want %q, error %v", got, want, wantErr)
		case errors.Is(err, ErrTooLarge) && len(want) <= int(limit) && int(length) <= int(limit):
			t.Fatalf("%d bytes too large for a limit of %d", len(want), limit)
		case err != nil && !errors.Is(err, ErrTooLarge) && wantErr == nil:
			t.Fatalf("error %v for a valid body", err)
		}
		held.Release()
		if budget.Held() != 0 || len(bodies.receiving) != 0 {
			t.Fatalf("%d bytes held, %d bodies", budget.Held(), len(bodies.receiving))
		}
	})
}
