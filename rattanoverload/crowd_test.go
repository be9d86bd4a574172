package rattanoverload

import (
	"context"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanprocess"
	"github.com/rattanlever/rattanlever/rattansite"
)

// crowd describes callers that send requests at the same time.
type crowd struct {
	callers   int
	newCaller func(index int) caller
	// at are the instances to which the callers are spread, the home alone if it is
	// empty.
	at []*rattanprocess.Instance
}

// overload lets a crowd send requests for overloadTime, and calls the function while
// the crowd goes on.
func (s *system) overload(c crowd, meanwhile func()) {
	if len(c.at) == 0 {
		home := s.Home(zone)
		s.Assert(home, qt.IsNotNil)
		c.at = append(c.at, home)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	for i := range c.callers {
		address := c.at[i%len(c.at)].IP + ":" + rattansite.CallerPort
		callers.Go(func() { c.newCaller(i).repeat(ctx, address, s.Checker) })
	}
	time.Sleep(overloadTime)
	meanwhile()
}

// checkOrdinary checks that each instance answers an ordinary request.
func (s *system) checkOrdinary() {
	for _, instance := range s.Instances {
		s.Check(s.ordinaryAnswered(instance), qt.IsTrue, qt.Commentf("%s answers an ordinary request", instance.Name))
	}
}

// meters measure the processes of all instances.
type meters struct {
	descriptors []*rattanprocess.DescriptorMeter
	memory      []*rattanprocess.MemoryMeter
}

func (s *system) startMeters() meters {
	var m meters
	for _, instance := range s.Instances {
		m.descriptors = append(m.descriptors, instance.StartDescriptorMeter())
		m.memory = append(m.memory, instance.StartMemoryMeter())
	}
	return m
}

// checkBounds checks that all processes live and that their resident memory and their
// descriptors have stayed within the bounds. It returns the sum of the highest resident
// memory and the highest number of queued bytes of each instance, in megabytes.
func (s *system) checkBounds(m meters, maxDescriptors int) []int {
	var sums []int
	for i, instance := range s.Instances {
		descriptors := m.descriptors[i].End()
		memory, err := m.memory[i].End()
		s.Check(err, qt.IsNil)
		s.Check(instance.Alive(), qt.IsTrue, qt.Commentf("process of %s", instance.Name))
		s.Logf("%s: peak of %d MB resident, %d MB in queues and %d descriptors", instance.Name, memory.Resident, memory.Queued, descriptors)
		s.Check(memory.Resident <= boundMB, qt.IsTrue, qt.Commentf("%s: %d MB resident, bound %d", instance.Name, memory.Resident, boundMB))
		bound := maxDescriptors - reservedDescriptors
		s.Check(descriptors <= bound, qt.IsTrue, qt.Commentf("%s: %d descriptors, bound %d", instance.Name, descriptors, bound))
		sums = append(sums, memory.Resident+memory.Queued)
	}
	return sums
}

// testMachine lets a crowd send requests and checks, besides the bounds of testOverload,
// that resident memory and queued bytes together stay within the memory of the machine.
func (s *system) testMachine(c crowd, event func()) {
	meters := s.startMeters()
	s.overload(c, func() {
		if event != nil {
			event()
		}
		s.checkOrdinary()
	})
	for i, sum := range s.checkBounds(meters, machineDescriptors) {
		s.Check(sum <= machineMB, qt.IsTrue, qt.Commentf("%s: %d MB resident and in queues, machine of %d", s.Instances[i].Name, sum, machineMB))
	}
}
