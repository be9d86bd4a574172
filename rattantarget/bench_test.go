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

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkStarts measures starts per second against targets that respond
// immediately. The targets run in the same process, so that the CPU time
// includes both client and targets.
func BenchmarkStarts(b *testing.B) {
	fleet, err := rattanstandin.NewTargetFleet(rattanstandin.TargetFleetOptions{
		Count:  8,
		Target: rattanstandin.TargetOptions{Slots: 60},
	})
	qt.Assert(b, err, qt.IsNil)
	defer fleet.Close()
	client := newClient(b, rattantarget.Options{})
	var taskCount atomic.Uint64
	b.ReportAllocs()
	b.SetParallelism(8)
	cpuBefore := cpuTime()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n := taskCount.Add(1)
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
	b.ReportMetric(float64((cpuTime()-cpuBefore).Nanoseconds())/float64(b.N), "cpu-ns/start")
	qt.Assert(b, fleet.Log().DoubleStarts(), qt.Equals, uint64(0))
	qt.Assert(b, fleet.Log().Starts() >= uint64(b.N), qt.IsTrue)
}

// BenchmarkClient measures the CPU time and allocations of the client alone:
// the target only copies the ID of each request into a prepared response.
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
	cpuBefore := cpuTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := client.Run(context.Background(), dispatch); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64((cpuTime()-cpuBefore).Nanoseconds())/float64(b.N), "cpu-ns/start")
}

// echoIDs responds to the dispatches on a connection. It panics if a dispatch
// does not arrive in one read, because the client must send it in one write.
func echoIDs(conn net.Conn) {
	defer conn.Close()
	idPrefix := []byte(`"ID":"`)
	buffer := make([]byte, 4096)
	response := make([]byte, 0, 4096)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		_, rest, _ := bytes.Cut(buffer[:n], idPrefix)
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

// BenchmarkAddedLatency compares the latency of Run with that of a plain HTTP
// call with the same request. The calls alternate, each kind on its own
// connection.
func BenchmarkAddedLatency(b *testing.B) {
	target := newTarget(b, rattanstandin.TargetOptions{})
	client := newClient(b, rattantarget.Options{})
	plainClient := &http.Client{Transport: &http.Transport{}}
	defer plainClient.CloseIdleConnections()
	var runs, plainCalls []time.Duration
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
		response, err := plainClient.Post("http://"+target.Address()+"/v1/tasks", "application/json", bytes.NewReader(body))
		qt.Assert(b, err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		plainCalls = append(plainCalls, time.Since(start))
		qt.Assert(b, err, qt.IsNil)
		response.Body.Close()
	}
	b.ReportMetric(float64(median(plainCalls)), "call-ns")
	b.ReportMetric(float64(median(runs)), "run-ns")
	b.ReportMetric(float64(median(runs)-median(plainCalls)), "added-ns")
}

func median(durations []time.Duration) time.Duration {
	slices.Sort(durations)
	return durations[len(durations)/2]
}
