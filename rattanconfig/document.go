// Package rattanconfig defines the configuration document that operators
// maintain: services, job kinds, callers, drains and service-level objectives.
package rattanconfig

import "github.com/rattanlever/rattanlever/rattanjson"

// PlatformKey is the key of the document in the platform's key-value store.
const PlatformKey = "Config"

// Document is the configuration of the whole system.
type Document struct {
	// Revision is incremented by each change; 0 means that there is no
	// document.
	Revision uint64
	// RequestID identifies the change that produced this revision. A writer
	// that did not get a response uses it to find out whether its write
	// succeeded.
	RequestID  string
	Services   map[string]Service
	JobKinds   map[string]JobKind
	Callers    map[string]Caller
	Drains     map[string]Drain
	Objectives map[string]Objective
}

// Service is a group of targets that run the same software.
type Service struct {
	// Description is a one-line description for people.
	Description string
	// Retired services accept no new jobs.
	Retired bool
}

// JobKind is a kind of job that a service accepts.
type JobKind struct {
	// Service is the name of an entry of Services.
	Service string
	// MaxTasks is the maximum number of tasks of a job, from 1 to 250.
	MaxTasks int
	// RunTime is the declared run time of a task, used as an initial estimate.
	RunTime rattanjson.Duration
	// Deadline is both the default and the maximum deadline of a job.
	Deadline rattanjson.Duration
	// Idempotent tasks may be run more than once. Only they are used to probe
	// ejected targets.
	Idempotent          bool
	CoresPerTask        int
	MemoryMBPerTask     int
	AcceleratorsPerTask int
	// MaxPayloadBytes is the maximum size of the payload of a task; 0 means
	// that only the size of the request body is limited.
	MaxPayloadBytes int
	// Retired kinds accept no new jobs.
	Retired bool
}

// Caller is a client that submits jobs, with its share of the capacity.
type Caller struct {
	// Weight is the share relative to other callers. It must be greater than 0.
	Weight float64
	// Quota is the maximum number of slots held at a time in the whole system;
	// 0 means no limit.
	Quota int
	// MaxJobs is the maximum number of jobs in progress in one pool; 0 means no
	// limit.
	MaxJobs int
	// Retired callers can submit no new jobs.
	Retired bool
}

// Drain takes an instance or target out of use. The name of the entry is the
// name of the instance or target.
type Drain struct {
	// Reason is a one-line reason for people.
	Reason string
}

// Objective is a service-level objective for a job kind.
type Objective struct {
	// Kind is the name of an entry of JobKinds; empty means all kinds.
	Kind string
	// Measure is AnsweredInTime, ShortWait or Refused.
	Measure string
	// Goal is the required fraction of good events, above 0 and below 1.
	Goal float64
	// Threshold is the time limit of a good event, for measures that have one.
	Threshold rattanjson.Duration
	// Window is the period of the error budget.
	Window rattanjson.Duration
}
