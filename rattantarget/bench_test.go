package rattantarget_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanstandin"
	"github.com/rattanlever/rattanlever/rattantarget"
)

var benchPayload = json.RawMessage(`{"Project":"birdhouse","Parts":["board","nail","hinge"]}`)

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkStarts measures starts per second against targets that respond
// instantly, with the targets in the same process. The processor time is that
// of both ends.
func BenchmarkStarts(b *testing.B) {
	fleet, err := rattanstandin.NewTargetFleet(rattanstandin.TargetFleetOptions{
		Count:  8,
		Target: rattanstandin.TargetOptions{Slots: 60},
	})
	qt.Assert(b, err, qt.IsNil)
	defer fleet.Close()
	client := newClient(b, rattantarget.Options{})
	var next atomic.Uint64
	b.ReportAllocs()
	b.SetParallelism(8)
	before := cpuTime()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n := next.Add(1)
			_, err := client.Run(context.Background(), rattantarget.Dispatch{
				Address: fleet.Targets[n%8].Address(),
				ID:      "task-" + strconv.FormatUint(n, 10),
				Kind:    "List",
				Payload: benchPayload,
				Lease:   testLease,
			})
			if err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/start")
	qt.Assert(b, fleet.Log().DoubleStarts(), qt.Equals, uint64(0))
	qt.Assert(b, fleet.Log().Starts() >= uint64(b.N), qt.IsTrue)
}

// BenchmarkClient measures the client's own processor time and allocations: the
// target only copies the ID of each request into a prepared response.
func BenchmarkClient(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go echoIDs(conn)
		}
	}()
	client := newClient(b, rattantarget.Options{})
	dispatch := rattantarget.Dispatch{Address: listener.Addr().String(), ID: "task-00000001", Payload: benchPayload, Lease: testLease}
	b.ReportAllocs()
	b.SetParallelism(4)
	before := cpuTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := client.Run(context.Background(), dispatch); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N), "cpu-ns/start")
}

// echoIDs answers the dispatches of a connection. It panics if a dispatch does
// not arrive in one read, which costs the client a second write.
func echoIDs(conn net.Conn) {
	defer conn.Close()
	field := []byte(`"ID":"`)
	buffer := make([]byte, 4096)
	response := make([]byte, 0, 4096)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		_, rest, _ := bytes.Cut(buffer[:n], field)
		id := rest[:bytes.IndexByte(rest, '"')]
		response = append(response[:0], "HTTP/1.1 200 OK\r\nContent-Length: "...)
		response = strconv.AppendInt(response, int64(len(id)+9), 10)
		response = append(response, "\r\n\r\n{\"ID\":\""...)
		response = append(response, id...)
		response = append(response, "\"}"...)
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// BenchmarkAddedLatency measures the latency of Run against that of a plain
// HTTP call of the same request, in turns on one connection each.
func BenchmarkAddedLatency(b *testing.B) {
	target := newTarget(b, rattanstandin.TargetOptions{})
	client := newClient(b, rattantarget.Options{})
	plain := &http.Client{Transport: &http.Transport{}}
	defer plain.CloseIdleConnections()
	var runs, calls []time.Duration
	for n := range b.N {
		dispatch := rattantarget.Dispatch{
			Address: target.Address(),
			ID:      "run-" + strconv.Itoa(n),
			Payload: benchPayload,
			Lease:   testLease,
		}
		start := time.Now()
		_, err := client.Run(context.Background(), dispatch)
		runs = append(runs, time.Since(start))
		qt.Assert(b, err, qt.IsNil)

		dispatch.ID = "call-" + strconv.Itoa(n)
		body, err := json.Marshal(dispatch)
		qt.Assert(b, err, qt.IsNil)
		start = time.Now()
		response, err := plain.Post("http://"+target.Address()+"/v1/tasks", "application/json", bytes.NewReader(body))
		qt.Assert(b, err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		calls = append(calls, time.Since(start))
		qt.Assert(b, err, qt.IsNil)
		response.Body.Close()
	}
	b.ReportMetric(float64(median(calls)), "call-ns")
	b.ReportMetric(float64(median(runs)), "run-ns")
	b.ReportMetric(float64(median(runs)-median(calls)), "added-ns")
}

func median(durations []time.Duration) time.Duration {
	slices.Sort(durations)
	return durations[len(durations)/2]
}
