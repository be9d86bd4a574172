package main

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

const (
	// freezeTime is the length of the freeze, as the site states it.
	freezeTime = 3500 * time.Millisecond
	// resendDelay is retransmit_ms of the site.
	resendDelay = 1300 * time.Millisecond
	// postLimit is how long the clients of these scenarios wait.
	postLimit = 20 * time.Second
	// lateCopyDelay is how long after its cancelling a copy of the job arrives.
	lateCopyDelay = 4 * time.Second
)

// longJob returns the body of a job whose second step starts 4.2 s after the first.
func longJob() []byte {
	return jobBody([]step{
		{count: 2, cpu: 14000, work: 4200 * time.Millisecond},
		{count: 2, cpu: 14000, work: 300 * time.Millisecond, after: []int{0}},
	})
}

// roles returns the home of a zone and its other instances.
func (d *deployment) roles(zone string) (home *instance, others []*instance, err error) {
	home = d.home(zone)
	for _, i := range d.instances {
		if i != home && i.zone == zone {
			others = append(others, i)
		}
	}
	if home == nil || len(others) < 2 {
		return nil, nil, errNotReady
	}
	d.record.line("home of the zone: %s", home.name)
	return home, others, nil
}

// startsAfter reports whether a task of the job has started later than cancelBound
// after the cancelling was acknowledged.
func (d *deployment) startsAfter(job string, cancelled answer) bool {
	broken := false
	for _, event := range d.history(job) {
		if late := event.at.Sub(cancelled.at); event.outcome == "" && late > cancelBound {
			d.record.line("UNASKED: task %s starts on %s %.3f s after the ack of the DELETE (%d), allowed are %v",
				event.task, event.worker, late.Seconds(), cancelled.status, cancelBound)
			broken = true
		}
	}
	return broken
}

// cancel cancels a job and reports whether that was acknowledged.
func (d *deployment) cancel(i *instance, job string) (answer, error) {
	cancelled := d.send(context.Background(), i, http.MethodDelete, job, nil, 2*time.Second)
	if cancelled.status != http.StatusOK && cancelled.status != http.StatusGone {
		return cancelled, errNoAnswer
	}
	return cancelled, nil
}

// cancelledJobRunsOn cancels a job while the instance that holds its request is
// frozen, so that the ingress sends the DELETE to another instance.
func cancelledJobRunsOn(d *deployment, trouble bool) (bool, error) {
	home, others, err := d.roles("buda")
	if err != nil {
		return false, err
	}
	front := others[0]
	balancer := newIngress(d)
	defer balancer.close()

	job := newJobID()
	answered := make(chan answer, 1)
	go func() { answered <- d.send(context.Background(), front, http.MethodPost, job, longJob(), postLimit) }()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		d.signal(front, syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { d.signal(front, syscall.SIGCONT) })
	}
	time.Sleep(freezeTime - 500*time.Millisecond)
	receiver := front
	if !balancer.inRotation(front) {
		receiver = home
	}
	cancelled, err := d.cancel(receiver, job)
	if err != nil {
		return false, err
	}
	<-answered
	time.Sleep(time.Second)
	return d.startsAfter(job, cancelled), nil
}

// cancelIsForgotten kills the instance that holds the request of a job. The client
// sends the job again and cancels it; then a late copy of the request arrives.
func cancelIsForgotten(d *deployment, trouble bool) (bool, error) {
	home, others, err := d.roles("buda")
	if err != nil {
		return false, err
	}
	front := others[0]
	job := newJobID()
	answered := make(chan answer, 1)
	go func() { answered <- d.send(context.Background(), front, http.MethodPost, job, longJob(), postLimit) }()
	time.Sleep(500 * time.Millisecond)
	holder := front
	if trouble {
		d.signal(front, syscall.SIGKILL)
		<-answered
		<-front.ended
		if err := d.start(front); err != nil {
			return false, err
		}
		time.Sleep(resendDelay)
		holder = home
		go func() { answered <- d.send(context.Background(), home, http.MethodPost, job, longJob(), postLimit) }()
	}
	time.Sleep(time.Second)
	cancelled, err := d.cancel(holder, job)
	if err != nil {
		return false, err
	}
	<-answered
	time.Sleep(lateCopyDelay)
	if trouble {
		d.record.line("a late copy of the request arrives")
		d.send(context.Background(), others[1], http.MethodPost, job, longJob(), postLimit)
	}
	return d.startsAfter(job, cancelled), nil
}
