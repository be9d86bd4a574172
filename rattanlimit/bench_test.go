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
