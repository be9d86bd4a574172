package rattanentry

import "net/http"

// closing lets callers' connections end with their next response while the
// instance drains. A server that stops closes connections without a request,
// and a request that is just arriving on one would be cut off.
func (o *Operations) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: writer, operations: o}, request)
	})
}

// closingWriter decides when the response begins, because the instance may
// begin to drain while the request is in progress.
type closingWriter struct {
	http.ResponseWriter
	operations *Operations
}

// Unwrap returns the inner writer to http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader begins the response.
func (w *closingWriter) WriteHeader(status int) {
	if w.operations.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}
