package rattanoverload

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanprocess"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	// earlierJobs is the number of jobs that run before the crowd comes, earlierBytes
	// the size of their bodies and resends how often each is sent again.
	earlierJobs  = 16
	earlierBytes = 100000
	resends      = 5
	otherZone    = "b"
	// refusalCallers is the number of callers in the crowd.
	refusalCallers = 400
	// homePause is shorter than the time after which another instance takes over.
	homePause = 700 * time.Millisecond
)

// runJobs submits jobs at an instance and returns the IDs of those that have run.
func (s *system) runJobs(at *rattanprocess.Instance, body []byte) []string {
	var ids []string
	for range earlierJobs {
		id := newJobID(s.Checker)
		s.Check(s.send(at, id, body), qt.Equals, http.StatusOK)
		ids = append(ids, id)
	}
	return ids
}

// send sends a job to an instance and returns the status of the answer, 0 if there is
// none.
func (s *system) send(at *rattanprocess.Instance, id string, body []byte) int {
	request, err := at.NewRequest(context.Background(), http.MethodPost, rattanprocess.Prefix+id, body, 4*time.Second)
	s.Assert(err, qt.IsNil)
	answer := rattanprocess.AnswerTo((&http.Transport{DisableKeepAlives: true}).RoundTrip, request)
	return answer.Status
}

// checkNotRefused sends jobs that have run to an instance again and checks that none
// of the answers says that the job has not run.
func (s *system) checkNotRefused(at *rattanprocess.Instance, ids []string, body []byte) {
	statuses := map[int]int{}
	var mutex sync.Mutex
	var callers sync.WaitGroup
	for _, id := range ids {
		callers.Go(func() {
			for range resends {
				status := s.send(at, id, body)
				mutex.Lock()
				statuses[status]++
				mutex.Unlock()
				time.Sleep(repeatDelay)
			}
		})
	}
	callers.Wait()
	s.Logf("%s: answers by status: %v", at.Name, statuses)
	s.Check(statuses[http.StatusServiceUnavailable], qt.Equals, 0)
	s.Check(statuses[http.StatusTooManyRequests], qt.Equals, 0)
	s.Check(statuses[http.StatusRequestEntityTooLarge], qt.Equals, 0)
}

// other returns an instance of the zone that is not the home.
func (s *system) other(inZone string) *rattanprocess.Instance {
	home := s.Home(inZone)
	for _, instance := range s.Instances {
		if instance.Zone == inZone && instance != home {
			return instance
		}
	}
	s.Fatalf("no other instance in zone %s", inZone)
	return nil
}

// testRefusal runs jobs at an instance, lets a crowd come to another one, and checks the
// answers to the same jobs there. The event happens between the runs and the second
// submission.
func testRefusal(s *system, first, second *rattanprocess.Instance, event func()) {
	body := paddedJob(earlierBytes)
	ids := s.runJobs(first, body)
	large := paddedJob(bodyBytes)
	s.overload(crowd{callers: refusalCallers, newCaller: everyCaller(pieces(large, missingBytes)), at: []*rattanprocess.Instance{second}}, func() {
		if event != nil {
			event()
		}
		s.checkNotRefused(second, ids, body)
	})
}

// TestRefusalAtHome guards against a home that refuses a job for want of memory although
// the job has run there, submitted through an instance that is lost.
func TestRefusalAtHome(t *testing.T) {
	s := startSystem(t, machineDescriptors)
	home, other := s.Home(zone), s.other(zone)
	testRefusal(s, other, home, func() { other.End(syscall.SIGKILL) })
}

// TestRefusalBesideHome guards against the same in an instance that is not the home.
func TestRefusalBesideHome(t *testing.T) {
	s := startSystem(t, machineDescriptors)
	testRefusal(s, s.Home(zone), s.other(zone), nil)
}

// TestRefusalInOtherZone guards against the same in an instance of a zone in which the job
// has not run.
func TestRefusalInOtherZone(t *testing.T) {
	s := startZones(t, machineDescriptors, zone, otherZone)
	testRefusal(s, s.Home(zone), s.Home(otherZone), nil)
}

// TestRefusalAfterTakeover guards against a home that refuses a job because it does not
// know what ran under the home before it.
func TestRefusalAfterTakeover(t *testing.T) {
	s := startSystem(t, machineDescriptors)
	home := s.Home(zone)
	testRefusal(s, home, s.other(zone), func() {
		home.End(syscall.SIGKILL)
		time.Sleep(overloadTime)
	})
}

// TestRefusalBesidePausedHome guards against an instance that refuses a job while the
// home cannot be asked.
func TestRefusalBesidePausedHome(t *testing.T) {
	s := startSystem(t, machineDescriptors)
	home := s.Home(zone)
	testRefusal(s, home, s.other(zone), func() { home.Pause(homePause) })
}

// TestRefusalOfTooLargeBody guards against status 413 for a job that has run. Its caller
// sends a larger body under the same ID.
func TestRefusalOfTooLargeBody(t *testing.T) {
	s := startSystem(t, machineDescriptors)
	ids := s.runJobs(s.other(zone), paddedJob(earlierBytes))
	for _, instance := range s.Instances {
		s.checkNotRefused(instance, ids, bytes.Repeat([]byte(" "), maxBodyBytes+1))
	}
}

// TestRefusalWithoutDesiredState guards against an instance that refuses a job because it
// has just started and knows no desired state.
func TestRefusalWithoutDesiredState(t *testing.T) {
	s := startSystem(t, machineDescriptors)
	body := paddedJob(earlierBytes)
	home, other := s.Home(zone), s.other(zone)
	ids := s.runJobs(home, body)
	home.End(syscall.SIGKILL)
	other.End(syscall.SIGKILL)
	s.Store.SetOutage(rattansite.OutageSilent)
	s.Assert(other.Start(), qt.IsNil)
	s.awaitListening(other)
	s.checkNotRefused(other, ids, body)
	s.Store.SetOutage(rattansite.OutageNone)
	s.Assert(home.Start(), qt.IsNil)
}

// awaitListening waits until an instance answers, whatever the answer is.
func (s *system) awaitListening(instance *rattanprocess.Instance) {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(repeatDelay) {
		request, err := instance.NewRequest(context.Background(), http.MethodGet, rattanprocess.Prefix, nil, 0)
		s.Assert(err, qt.IsNil)
		if response, err := http.DefaultClient.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			return
		}
	}
	s.Fatalf("%s does not answer", instance.Name)
}

// TestRefusalAtShutdown guards against an instance that refuses a job because it stops.
func TestRefusalAtShutdown(t *testing.T) {
	s := startSystem(t, machineDescriptors)
	body := paddedJob(earlierBytes)
	home, other := s.Home(zone), s.other(zone)
	ids := s.runJobs(home, body)
	s.Check(other.Signal(syscall.SIGTERM), qt.IsNil)
	s.checkNotRefused(other, ids, body)
}
