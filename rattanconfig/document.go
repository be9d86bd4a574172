// Package rattanconfig holds the operators' configuration document: the
// services they run, the job kinds they accept, callers, drains and
// service-level objectives.
package rattanconfig

import "github.com/rattanlever/rattanlever/rattanjson"

// PlatformKey is the key of the document in the platform's key-value service.
const PlatformKey = "Config"

// Document is the configuration that is in force everywhere.
type Document struct {
	// Revision rises by one with each change; 0 means no document.
	Revision uint64
	// RequestID identifies the change that made this revision, so that a
	// writer whose answer was lost can tell whether its write took effect.
	RequestID  string
	Services   map[string]Service
	JobKinds   map[string]JobKind
	Callers    map[string]Caller
	Drains     map[string]Drain
	Objectives map[string]Objective
}

// Service is a group of targets that run the same software.
type Service struct {
	// Description is one line for people.
	Description string
	// Retired services accept no new jobs.
	Retired bool
}

// JobKind is a kind of job that a service accepts.
type JobKind struct {
	// Service names an entry of Services.
	Service string
	// MaxTasks is 1 to 250.
	MaxTasks int
	// RunTime is the declared run time of a task, a first guess only.
	RunTime rattanjson.Duration
	// Deadline is the default and the longest deadline of a job.
	Deadline rattanjson.Duration
	// Idempotent kinds may be used to probe ejected targets.
	Idempotent          bool
	CoresPerTask        int
	MemoryMBPerTask     int
	AcceleratorsPerTask int
	// MaxPayloadBytes bounds the payload of one task; 0 means the body limit.
	MaxPayloadBytes int
	Retired         bool
}

// Caller is a submitting party with its share.
type Caller struct {
	// Weight is the share relative to other callers, greater than 0.
	Weight float64
	// Quota is the most slots held at a time in the whole system; 0 means none.
	Quota int
	// MaxJobs is the most jobs in progress in one pool; 0 means none.
	MaxJobs int
	Retired bool
}

// Drain takes an instance or a target out of use, by name.
type Drain struct {
	// Reason is one line for people.
	Reason string
}

// Objective is a service-level objective for a job kind.
type Objective struct {
	// Kind names an entry of JobKinds; empty means all.
	Kind string
	// Measure is AnsweredInTime, ShortWait or Refused.
	Measure string
	// Goal is the share of good events, above 0 and below 1.
	Goal float64
	// Threshold is the bound of a good event where the measure has one.
	Threshold rattanjson.Duration
	// Window is the period of the error budget.
	Window rattanjson.Duration
}
