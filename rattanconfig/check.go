package rattanconfig

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjob"
	"github.com/rattanlever/rattanlever/rattanjson"
)

// ErrInvalidDocument is returned for a document that violates the format.
const ErrInvalidDocument = errors.ConstError("invalid configuration")

// Measures of objectives.
const (
	// MeasureAnsweredInTime counts a job as good if it was answered with its
	// results within the threshold, or within its deadline if the threshold is
	// 0.
	MeasureAnsweredInTime = "AnsweredInTime"
	// MeasureShortWait counts a task as good if it waited no longer than the
	// threshold before its start.
	MeasureShortWait = "ShortWait"
	// MeasureRefused counts a submission as good if it was not refused.
	MeasureRefused = "Refused"
)

// Limits of a document.
const (
	// maxTextLength is the maximum length of a text in bytes.
	maxTextLength = 200
	maxWeight     = 1_000_000
	minDeadline   = time.Millisecond
	minWindow     = time.Hour
	maxWindow     = 90 * 24 * time.Hour
	// maxResourcePerTask limits the cores, megabytes of memory and accelerators
	// of a task.
	maxResourcePerTask = 1 << 20
	// maxSlots limits the quota of a caller.
	maxSlots = 1 << 20
	// maxObjectives limits the memory for the counts of objectives, which is
	// about 45 KB per objective on every instance.
	maxObjectives = 200
	// maxDocumentBytes leaves room for a plan, which contains the document, in
	// the largest value that the platform stores (1 MB).
	maxDocumentBytes = 900_000
)

// Parse decodes and validates a document in JSON or in the format of Pack. It
// returns ErrInvalidDocument or an error of rattanjson.DecodeStrict.
func Parse(data []byte) (Document, error) {
	data, err := unpack(data)
	if err != nil {
		return Document{}, err
	}
	if len(data) > maxDocumentBytes {
		return Document{}, invalidDocument("document: %d bytes, want at most %d", len(data), maxDocumentBytes)
	}
	var document Document
	if err := rattanjson.DecodeStrict(data, &document); err != nil {
		return Document{}, errors.Trace(err)
	}
	if err := Check(document); err != nil {
		return Document{}, err
	}
	return document, nil
}

// Encode returns the JSON encoding of a document. It returns ErrInvalidDocument
// if the result is too large for the platform.
func Encode(document Document) ([]byte, error) {
	data, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) > maxDocumentBytes {
		return nil, invalidDocument("document: %d bytes, want at most %d", len(data), maxDocumentBytes)
	}
	return data, nil
}

// Check validates a document. It returns ErrInvalidDocument with the path of
// the invalid key and the expected value. Entries are checked in the order of
// their names, so that the same document always returns the same error.
func Check(document Document) error {
	if len(document.Objectives) > maxObjectives {
		return invalidDocument("Objectives: %d entries, want at most %d", len(document.Objectives), maxObjectives)
	}
	return firstError(
		func() error { return checkText("RequestID", document.RequestID) },
		func() error { return checkSection("Services", document.Services, checkService) },
		func() error {
			return checkSection("JobKinds", document.JobKinds, func(path string, kind JobKind) error {
				return checkJobKind(path, kind, document)
			})
		},
		func() error { return checkSection("Callers", document.Callers, checkCaller) },
		func() error { return checkSection("Drains", document.Drains, checkDrain) },
		func() error {
			return checkSection("Objectives", document.Objectives, func(path string, objective Objective) error {
				return checkObjective(path, objective, document)
			})
		},
	)
}

func checkService(path string, service Service) error {
	return checkText(path+".Description", service.Description)
}

func checkJobKind(path string, kind JobKind, document Document) error {
	service, ok := document.Services[kind.Service]
	deadline, runTime := kind.Deadline.Std(), kind.RunTime.Std()
	switch {
	case kind.Service == "":
		return invalidDocument("%s.Service: missing, want the name of a service", path)
	case !ok:
		return unknownNameError(path+".Service", kind.Service, "Services", sortedNames(document.Services))
	case service.Retired && !kind.Retired:
		return invalidDocument("%s.Service: %q is retired, want a service in use, or a retired job kind", path, kind.Service)
	case kind.MaxTasks < 1 || kind.MaxTasks > rattanjob.MaxTasks:
		return invalidDocument("%s.MaxTasks: %d, want 1 to %d", path, kind.MaxTasks, rattanjob.MaxTasks)
	case deadline < minDeadline || deadline > rattanjob.MaxDeadline:
		return invalidDocument("%s.Deadline: %v, want %v to %v", path, deadline, minDeadline, rattanjob.MaxDeadline)
	case runTime < 0 || runTime > deadline:
		return invalidDocument("%s.RunTime: %v, want 0s to the deadline (%v)", path, runTime, deadline)
	}
	return firstError(
		func() error { return checkRange(path+".CoresPerTask", kind.CoresPerTask, maxResourcePerTask) },
		func() error { return checkRange(path+".MemoryMBPerTask", kind.MemoryMBPerTask, maxResourcePerTask) },
		func() error {
			return checkRange(path+".AcceleratorsPerTask", kind.AcceleratorsPerTask, maxResourcePerTask)
		},
		func() error { return checkRange(path+".MaxPayloadBytes", kind.MaxPayloadBytes, rattanjob.MaxBodySize) },
	)
}

func checkCaller(path string, caller Caller) error {
	// The negated comparison also rejects NaN.
	if !(caller.Weight > 0 && caller.Weight <= maxWeight) {
		return invalidDocument("%s.Weight: %v, want above 0 and at most %d", path, caller.Weight, maxWeight)
	}
	return firstError(
		func() error { return checkRange(path+".Quota", caller.Quota, maxSlots) },
		func() error { return checkRange(path+".MaxJobs", caller.MaxJobs, math.MaxInt32) },
	)
}

func checkDrain(path string, drain Drain) error {
	return checkText(path+".Reason", drain.Reason)
}

func checkObjective(path string, objective Objective, document Document) error {
	if objective.Kind != "" {
		if _, ok := document.JobKinds[objective.Kind]; !ok {
			return unknownNameError(path+".Kind", objective.Kind, "JobKinds", sortedNames(document.JobKinds))
		}
	}
	window, threshold := objective.Window.Std(), objective.Threshold.Std()
	switch {
	case !isMeasure(objective.Measure):
		return invalidDocument("%s.Measure: %q, want %s, %s or %s", path, objective.Measure, MeasureAnsweredInTime, MeasureShortWait, MeasureRefused)
	case !(objective.Goal > 0 && objective.Goal < 1):
		return invalidDocument("%s.Goal: %v, want above 0 and below 1", path, objective.Goal)
	case window < minWindow || window > maxWindow:
		return invalidDocument("%s.Window: %v, want %v to %v", path, window, minWindow, maxWindow)
	case threshold < 0 || threshold > rattanjob.MaxDeadline:
		return invalidDocument("%s.Threshold: %v, want 0s to %v", path, threshold, rattanjob.MaxDeadline)
	case objective.Measure == MeasureShortWait && threshold == 0:
		return invalidDocument("%s.Threshold: missing, want the longest good wait", path)
	case objective.Measure == MeasureRefused && threshold != 0:
		return invalidDocument("%s.Threshold: %v, want none with measure %s", path, threshold, MeasureRefused)
	}
	return nil
}

// checkSection validates the names and entries of a section in sorted order.
func checkSection[T any](section string, entries map[string]T, check func(path string, entry T) error) error {
	for _, name := range sortedNames(entries) {
		if !rattanjson.IsName(name) {
			return invalidDocument("%s: name %.80q, want %s", section, name, rattanjson.NameRule)
		}
		if err := check(section+"."+name, entries[name]); err != nil {
			return err
		}
	}
	return nil
}

func checkRange(path string, value, limit int) error {
	if value < 0 || value > limit {
		return invalidDocument("%s: %d, want 0 to %d", path, value, limit)
	}
	return nil
}

func checkText(path, text string) error {
	if len(text) > maxTextLength || !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl) {
		return invalidDocument("%s: want one line of at most %d bytes of UTF-8 without control characters", path, maxTextLength)
	}
	return nil
}

func unknownNameError(path, name, section string, names []string) error {
	if nearest := rattanjson.Nearest(name, names); nearest != "" {
		return invalidDocument("%s: no %q in %s, did you mean %q?", path, name, section, nearest)
	}
	return invalidDocument("%s: no %q in %s", path, name, section)
}

func isMeasure(text string) bool {
	return text == MeasureAnsweredInTime || text == MeasureShortWait || text == MeasureRefused
}

func sortedNames[K cmp.Ordered, V any](entries map[K]V) []K {
	names := make([]K, 0, len(entries))
	for name := range entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func firstError(checks ...func() error) error {
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func invalidDocument(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrInvalidDocument)
}
