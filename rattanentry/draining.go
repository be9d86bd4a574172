package rattanentry

import "net/http"

// closeWhenDraining closes callers' connections after their next response while
// the instance drains. A server that stops closes its idle connections, and a
// request that is just arriving on one of them would be lost.
func (o *Operations) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		next.ServeHTTP(&drainingWriter{ResponseWriter: writer, operations: o}, request)
	})
}

// drainingWriter checks for draining when the response begins, because the
// instance may start to drain while the request is in progress.
type drainingWriter struct {
	http.ResponseWriter
	operations *Operations
}

// Unwrap returns the inner writer for http.ResponseController.
func (w *drainingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader writes the header, with Connection: close while the instance
// drains.
func (w *drainingWriter) WriteHeader(status int) {
	if w.operations.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}
