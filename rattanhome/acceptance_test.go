package rattanhome

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestForgottenSubmissionIsNoProof guards against taking an expired memory for the proof that nothing was accepted.
func TestForgottenSubmissionIsNoProof(t *testing.T) {
	const submitter, job, other = "front", "aa", "bb"
	now := time.Now()
	later := now.Add(acceptanceRetention + time.Millisecond)
	tests := map[string]struct {
		play func(r *acceptanceRecord)
		at   time.Time
		// unaccepted is whether the submissions 5 to 7 of the job are rejected, and
		// accepted whether submission 6 is accepted after that.
		unaccepted, accepted bool
	}{
		"nothing known":             {func(*acceptanceRecord) {}, now, true, false},
		"accepted before":           {func(r *acceptanceRecord) { r.accept(submitter, job, 4, now) }, now, true, false},
		"accepted":                  {func(r *acceptanceRecord) { r.accept(submitter, job, 5, now) }, now, false, true},
		"accepted and forgotten":    {func(r *acceptanceRecord) { r.accept(submitter, job, 5, now) }, later, false, true},
		"other job accepted":        {func(r *acceptanceRecord) { r.accept(submitter, other, 5, now) }, now, true, false},
		"other job forgotten":       {func(r *acceptanceRecord) { r.accept(submitter, other, 5, now) }, later, false, true},
		"earlier job forgotten":     {func(r *acceptanceRecord) { r.accept(submitter, other, 4, now) }, later, true, false},
		"other submitter's":         {func(r *acceptanceRecord) { r.accept("other", job, 5, now) }, later, true, false},
		"rejected":                  {func(r *acceptanceRecord) { r.reject(submitter, job, 6, now) }, now, true, false},
		"rejected and forgotten":    {func(r *acceptanceRecord) { r.reject(submitter, job, 6, now) }, later, false, false},
		"accepted again since":      {func(r *acceptanceRecord) { r.accept(submitter, job, 5, now); r.accept(submitter, job, 6, later) }, later, false, true},
		"accepted, then a late one": {func(r *acceptanceRecord) { r.accept(submitter, job, 5, now); r.accept(submitter, job, 4, now) }, now, false, true},
		"lower one forgotten later": {func(r *acceptanceRecord) { r.accept(submitter, other, 7, now); r.accept(submitter, "cc", 4, now) }, later, false, false},
		"rejected, then a late withdrawal": {func(r *acceptanceRecord) {
			r.accept(submitter, job, 5, now)
			r.reject(submitter, job, 6, now)
			r.reject(submitter, job, 3, now)
		}, now, false, false},
		"unnumbered, not recorded": {func(r *acceptanceRecord) { r.accept(submitter, job, 0, now); r.reject(submitter, job, 0, now) }, later, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			record := newAcceptanceRecord()
			test.play(&record)
			record.forget(test.at)
			c.Check(record.rejectUnaccepted(submitter, job, 5, 7, test.at), qt.Equals, test.unaccepted)
			c.Check(record.accept(submitter, job, 6, test.at), qt.Equals, test.accepted)
			c.Check(record.accept(submitter, job, 8, test.at), qt.IsTrue)
		})
	}
}

// TestAcceptanceRecordIsBounded guards against a record that grows with the number of jobs.
func TestAcceptanceRecordIsBounded(t *testing.T) {
	c := qt.New(t)
	record := newAcceptanceRecord()
	now := time.Now()
	for sequence := range int64(1000) {
		record.accept("front", "aa", sequence+1, now)
	}
	record.forget(now.Add(acceptanceRetention + time.Millisecond))
	c.Check(record.of("front").jobs, qt.HasLen, 0)
	c.Check(record.of("front").order, qt.HasLen, 0)
}

// TestServiceForgetsAcceptances guards against a service that remembers each submission for good.
func TestServiceForgetsAcceptances(t *testing.T) {
	c := qt.New(t)
	service := NewService(ServiceConfig{Name: "self", Membership: soleMember{}, Journal: noopJournal{}, Clock: time.Now})
	now := time.Now()
	c.Assert(service.acceptances.accept("front", "aa", 5, now), qt.IsTrue)
	service.goneSubmitters(now.Add(acceptanceRetention))
	c.Check(service.acceptances.of("front").jobs, qt.HasLen, 1)
	service.goneSubmitters(now.Add(acceptanceRetention + time.Millisecond))
	c.Check(service.acceptances.of("front").jobs, qt.HasLen, 0)
}
