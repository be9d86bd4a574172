package main

import (
	"errors"
	"syscall"
	"time"
)

// lateDelay is the time from a start without an answer until it is carried out,
// lateWork the duration of the task.
const (
	lateDelay = 3 * time.Second
	lateWork  = 8 * time.Second
)

// lateStartHomeKilled leaves the start of a task without an answer, kills the
// process that sent it at once, and carries the start out as its worker, which has
// crashed meanwhile, is back. Without the disruption, the start is only late.
func (w *world) lateStartHomeKilled(trouble bool) error {
	zone := zoneNames[0]
	time.Sleep(contactTime)
	home := w.home(zone)
	if home == nil {
		return errors.New("no orders were seen")
	}
	var front *instance
	for _, i := range w.machinesOf(zone) {
		if i != home {
			front = i
		}
	}
	holds := make(chan *worker, 1)
	w.mutex.Lock()
	for _, k := range w.workers {
		k.holdStart = holds
	}
	w.mutex.Unlock()
	j := w.newJob("/q/", 30*time.Second, step{Count: 1, CPU: 4000, MemoryMB: 256, work: lateWork})
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		w.submit(j, front)
	}()
	k := <-holds
	if trouble {
		w.disturb("kill %s, which sent the start", home.name)
		home.kill()
		k.crash(lateDelay)
	} else {
		time.Sleep(lateDelay)
		w.mutex.Lock()
		status, answer := k.apply("/api/run-start", *k.held)
		w.note("late start %s attempt %d at %s: %d %v", k.held.Task, k.held.Attempt, k.id, status, answer)
		w.mutex.Unlock()
	}
	<-answered
	return nil
}

// lateStartAfterReturn is the time from the return of the worker until the late
// start is carried out, where no process is left that could call the worker first.
const lateStartAfterReturn = 500 * time.Millisecond

// lateStartZoneLost leaves the start of a task without an answer, takes the power
// from all machines of the zone, sends the job again to the other zone and carries
// the start out after its worker, which has crashed meanwhile, is back.
func (w *world) lateStartZoneLost(trouble bool) error {
	time.Sleep(contactTime)
	machines, others := w.machinesOf(zoneNames[0]), w.machinesOf(zoneNames[1])
	holds := make(chan *worker, 1)
	w.mutex.Lock()
	for _, k := range w.workers {
		if k.zone == zoneNames[0] {
			k.holdStart = holds
		}
	}
	w.mutex.Unlock()
	j := w.newJob("/q/", 30*time.Second, step{Count: 1, CPU: 4000, MemoryMB: 256, work: lateWork})
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		if status, _ := w.submit(j, machines[0]); status == 0 {
			time.Sleep(retransmitDelay)
			w.submit(j, others[0])
		}
	}()
	k := <-holds
	w.mutex.Lock()
	held := *k.held
	k.held = nil
	w.mutex.Unlock()
	if trouble {
		w.disturb("all machines of %s lose power", zoneNames[0])
		for _, i := range machines {
			i.signal(syscall.SIGKILL)
		}
		k.crash(lateDelay)
	} else {
		time.Sleep(lateDelay)
	}
	time.Sleep(lateStartAfterReturn)
	w.mutex.Lock()
	status, answer := k.apply("/api/run-start", held)
	w.note("late start %s attempt %d at %s: %d %v", held.Task, held.Attempt, k.id, status, answer)
	w.mutex.Unlock()
	<-answered
	return nil
}
