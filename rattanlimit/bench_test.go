package rattanlimit

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// BenchmarkReceive compares the reading of bodies with io.ReadAll.
func BenchmarkReceive(b *testing.B) {
	for _, size := range []int{300, 8000, testLimit} {
		for _, chunked := range []bool{false, true} {
			newRequest := func() *http.Request {
				request := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, size)))
				if chunked {
					request.ContentLength = -1
				}
				return request
			}
			name := fmt.Sprintf("%d/chunked=%t", size, chunked)
			bodies := NewBodies(NewBudget(1<<30, 0), nil, time.Now)
			w := httptest.NewRecorder()
			request := newRequest()
			payload := make([]byte, size)
			b.Run(name+"/Receive", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					request.Body = io.NopCloser(bytes.NewReader(payload))
					_, held, err := bodies.Receive(w, request, testLimit)
					if err != nil {
						b.Fatal(err)
					}
					held.Release()
				}
			})
			b.Run(name+"/ReadAll", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					request.Body = io.NopCloser(bytes.NewReader(payload))
					if _, err := io.ReadAll(http.MaxBytesReader(w, request.Body, testLimit)); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkServer compares a server whose connections and bodies are bounded with one
// that reads bodies by io.ReadAll.
func BenchmarkServer(b *testing.B) {
	payload := make([]byte, 300)
	run := func(b *testing.B, address string) {
		b.ReportAllocs()
		for b.Loop() {
			response, err := http.Post(address, "", bytes.NewReader(payload))
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	b.Run("ReadAll", func(b *testing.B) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(http.MaxBytesReader(w, r.Body, testLimit))
		}))
		defer server.Close()
		run(b, server.URL)
	})
	b.Run("bounded", func(b *testing.B) {
		budget := NewBudget(1<<30, 0)
		bodies := NewBodies(budget, nil, time.Now)
		connections := NewConnections(1000, budget, nil, time.Now)
		server := httptest.NewUnstartedServer(connections.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, held, err := bodies.Receive(w, r, testLimit); err == nil {
				held.Release()
			}
		})))
		server.Listener = connections.Listen(server.Listener)
		server.Config.ConnContext = WithConnection
		server.Config.ConnState = connections.StateChanged
		server.Start()
		defer server.Close()
		run(b, server.URL)
	})
}
