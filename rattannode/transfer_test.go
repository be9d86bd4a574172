package rattannode

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// largeRoutes is the number of routes of a large desired state.
const largeRoutes = 2800

// largeDocument returns a large encoded desired state that has the route /dropped/ in
// version 1 only.
func largeDocument(version int64) []byte {
	routes := make([]string, 0, largeRoutes)
	for i := range largeRoutes {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h","prefix":"/large-%d/","service":"s","timeout_ms":5000,"target_latency_ms":2000,"max_attempts":3}`, i, i))
	}
	if version == 1 {
		routes = append(routes, `{"name":"r","host":"h","prefix":"/dropped/","service":"s","timeout_ms":5000,"target_latency_ms":2000,"max_attempts":3}`)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s]}`, version, strings.Join(routes, ","))
}

// bytesOfChange returns the number of bytes that a home sends to an instance that is
// behind by a change, while that many submissions wait there.
func bytesOfChange(c *qt.C, submissions int) int {
	p := newPairOf(c, largeDocument(1), largeDocument(2), 0)
	sent := p.counts.BytesSent.Load()
	var group sync.WaitGroup
	for i := range submissions {
		group.Go(func() {
			body := `{"spec":"s","best_effort":true,"steps":[{"count":1,"cpu":1000,"estimate_ms":50}]}`
			request := httptest.NewRequest(http.MethodPost, fmt.Sprintf("/dropped/%016x", i+1), strings.NewReader(body))
			request.Host = "h"
			recorder := httptest.NewRecorder()
			p.front.ServeHTTP(recorder, request)
			c.Check(recorder.Code, qt.Equals, http.StatusNotFound)
		})
	}
	group.Wait()
	return int(p.counts.BytesSent.Load() - sent)
}

// TestWaitingSubmissionsShareOneTransfer guards against a copy of the desired state for each submission that waits for it.
func TestWaitingSubmissionsShareOneTransfer(t *testing.T) {
	const submissions, maxReplyBytes = 100, 1 << 10
	c := qt.New(t)
	sent, limit := bytesOfChange(c, submissions), len(largeDocument(2))+submissions*maxReplyBytes
	c.Check(sent <= limit, qt.IsTrue, qt.Commentf("%d bytes, limit %d", sent, limit))
}

// BenchmarkChangeWithWaitingSubmissions measures the bytes that a home sends an
// instance for a change of the desired state.
func BenchmarkChangeWithWaitingSubmissions(b *testing.B) {
	for _, submissions := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint(submissions), func(b *testing.B) {
			sent := 0
			for range b.N {
				sent += bytesOfChange(qt.New(b), submissions)
			}
			b.ReportMetric(float64(sent)/float64(b.N), "bytes/change")
		})
	}
}

// BenchmarkDesiredStateMemory measures the bytes that an instance holds for its desired
// state, and those that it allocates to take it over, for each byte of the document.
func BenchmarkDesiredStateMemory(b *testing.B) {
	c := qt.New(b)
	document := largeDocument(2)
	p := newPair(c, 1, 1, 0)
	before := memoryStats()
	c.Assert(p.frontState.Accept(bytes.Clone(document), "test"), qt.IsNil)
	after := memoryStats()
	runtime.KeepAlive(p)
	runtime.KeepAlive(document)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(len(document)), "held/byte")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(len(document)), "allocated/byte")
}

// memoryStats returns the memory in use, without what finalizers and pools keep.
func memoryStats() runtime.MemStats {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}
