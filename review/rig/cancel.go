package main

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

// freezeTime is the length of the freeze, as the site states it.
const freezeTime = 3500 * time.Millisecond

// cancelledJobRunsOn cancels a job while the instance that holds its request is
// frozen, so that the ingress sends the DELETE to another instance. The rule breaks
// if a task starts later than cancelBound after the DELETE was acknowledged.
func cancelledJobRunsOn(d *deployment, trouble bool) (bool, error) {
	home := d.home("buda")
	var front, other *instance
	for _, i := range d.instances {
		switch {
		case i == home:
			other = i
		case front == nil:
			front = i
		}
	}
	if front == nil || other == nil {
		return false, errNotReady
	}
	d.record.line("home of the zone: %s; the job goes to %s", home.name, front.name)
	balancer := newIngress(d)
	defer balancer.close()

	job := newJobID()
	body := jobBody([]step{
		{count: 2, cpu: 14000, work: 4200 * time.Millisecond},
		{count: 2, cpu: 14000, work: 300 * time.Millisecond, after: []int{0}},
	})
	answered := make(chan answer, 1)
	go func() { answered <- d.send(context.Background(), front, http.MethodPost, job, body, 20*time.Second) }()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		d.signal(front, syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { d.signal(front, syscall.SIGCONT) })
	}
	time.Sleep(freezeTime - 500*time.Millisecond)

	receiver := front
	if !balancer.inRotation(front) {
		receiver = other
	}
	cancelled := d.send(context.Background(), receiver, http.MethodDelete, job, nil, 2*time.Second)
	if cancelled.status != http.StatusOK && cancelled.status != http.StatusGone {
		return false, errNoAnswer
	}
	select {
	case <-answered:
	case <-time.After(20 * time.Second):
	}
	time.Sleep(time.Second)

	broken := false
	for _, event := range d.history(job) {
		if late := event.at.Sub(cancelled.at); event.outcome == "" && late > cancelBound {
			d.record.line("UNASKED: task %s starts on %s %.3f s after the ack of the DELETE (%d), allowed are %v",
				event.task, event.worker, late.Seconds(), cancelled.status, cancelBound)
			broken = true
		}
	}
	return broken, nil
}
