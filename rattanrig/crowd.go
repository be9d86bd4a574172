package rattanrig

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanprocess"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	// crowdCallers is the number of callers of a crowd, which comes for at most
	// maxCrowdTime.
	crowdCallers = 150
	maxCrowdTime = 4 * time.Second
	// crowdBodyBytes is the length that the callers state. They send the body without
	// its end, so that no job of theirs can start.
	crowdBodyBytes = 20000
	crowdPause     = 100 * time.Millisecond
	// crowdTasks is the number of tasks of the complete jobs that a crowd sends.
	crowdTasks = 1000
	// maxPipelined is the most requests that a caller sends without reading answers.
	maxPipelined = 1000
)

// crowdRequest returns what a caller of a crowd sends.
type crowdRequest func(random *rand.Rand) string

// crowdRequests are the kinds of requests of a crowd.
var crowdRequests = []crowdRequest{
	// A body without its end.
	func(random *rand.Rand) string {
		return crowdHead(random, fmt.Sprintf("Content-Length: %d", crowdBodyBytes)) + strings.Repeat(" ", random.IntN(crowdBodyBytes))
	},
	// Small chunks without the last one.
	func(random *rand.Rand) string {
		return crowdHead(random, "Transfer-Encoding: chunked") + strings.Repeat("1\r\n \r\n", random.IntN(crowdBodyBytes))
	},
	// A body that is too large.
	func(random *rand.Rand) string {
		return crowdHead(random, "Content-Length: 100000000") + strings.Repeat(" ", crowdBodyBytes)
	},
	// A part of a header.
	func(random *rand.Rand) string {
		head := crowdHead(random, "X-Filler: "+strings.Repeat("x", crowdBodyBytes/2))
		return head[:random.IntN(len(head))]
	},
	// Requests without a body, whose answers are not read.
	func(random *rand.Rand) string {
		request := "GET " + rattanprocess.Prefix + " HTTP/1.1\r\nHost: " + rattanprocess.Host + "\r\n\r\n"
		return strings.Repeat(request, 1+random.IntN(maxPipelined))
	},
	// A job with as many tasks as a job can have, none of which any target has room for.
	func(random *rand.Rand) string {
		body := fmt.Sprintf(`{"spec":"s","best_effort":true,"steps":[{"count":%d,"cpu":%d,"mem_mb":1,"estimate_ms":20}]}`, crowdTasks, 2*targetMilliCPU)
		return crowdHead(random, fmt.Sprintf("Content-Length: %d", len(body))) + body
	},
}

func crowdHead(random *rand.Rand, framing string) string {
	return fmt.Sprintf("%s %s%016x HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", http.MethodPost, rattanprocess.Prefix, random.Uint64(), rattanprocess.Host, framing)
}

// crowd lets a crowd of callers send requests, spread over the instances. Each caller
// opens a connection again after it is closed.
func (r *rig) crowd(at []*instance, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), upTo(random, maxCrowdTime))
	defer cancel()
	var callers sync.WaitGroup
	for number := range crowdCallers {
		to := at[number%len(at)]
		stream := rand.New(rand.NewPCG(random.Uint64(), uint64(number)))
		callers.Go(func() {
			for ctx.Err() == nil {
				sendCrowdRequest(ctx, to.IP+":"+rattansite.CallerPort, stream)
				sleep(ctx, crowdPause)
			}
		})
	}
	callers.Wait()
}

// sendCrowdRequest sends one request and keeps the connection until the instance closes
// it or the context ends.
func sendCrowdRequest(ctx context.Context, address string, random *rand.Rand) {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	if _, err := io.WriteString(connection, crowdRequests[random.IntN(len(crowdRequests))](random)); err != nil {
		return
	}
	if random.IntN(2) == 0 {
		// This caller reads no answer.
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, connection)
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
