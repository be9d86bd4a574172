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

// ErrDocument reports a document that breaks a rule of the format.
const ErrDocument = errors.ConstError("invalid configuration")

// Measures of objectives.
const (
	// MeasureAnsweredInTime counts a job as good when it was answered with its
	// results within the threshold, or within its deadline when that is 0.
	MeasureAnsweredInTime = "AnsweredInTime"
	// MeasureShortWait counts a task as good when it waited no longer than the
	// threshold before its start.
	MeasureShortWait = "ShortWait"
	// MeasureRefused counts a submission as good when it was not refused.
	MeasureRefused = "Refused"
)

// Limits of a document.
const (
	maxTextLength = 200
	maxWeight     = 1_000_000
	minDeadline   = time.Millisecond
	minWindow     = time.Hour
	maxWindow     = 90 * 24 * time.Hour
	maxPerTarget  = 1 << 20
	maxSlots      = 1 << 20
	// maxObjectives bounds the memory of the counts that every instance keeps
	// for an objective, about 45 KB.
	maxObjectives = 200
	// maxDocumentBytes leaves room for a plan, which contains the document, in
	// the largest value of the platform (1 MB).
	maxDocumentBytes = 900_000
)

// Parse decodes and checks a document in JSON, or one from Pack. The errors are
// those of rattanjson.DecodeStrict and of Check.
func Parse(data []byte) (Document, error) {
	data, err := unpack(data)
	if err != nil {
		return Document{}, err
	}
	if len(data) > maxDocumentBytes {
		return Document{}, invalid("document: %d bytes, want at most %d", len(data), maxDocumentBytes)
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

// Encode returns the JSON form of a document. It returns ErrDocument for one
// that is too large for the platform's service.
func Encode(document Document) ([]byte, error) {
	data, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(data) > maxDocumentBytes {
		return nil, invalid("document: %d bytes, want at most %d", len(data), maxDocumentBytes)
	}
	return data, nil
}

// Check returns ErrDocument, naming the path of the key at fault and what was
// expected, or nil. Entries are checked in the order of their names, so that
// the same document always gives the same error.
func Check(document Document) error {
	if len(document.Objectives) > maxObjectives {
		return invalid("Objectives: %d entries, want at most %d", len(document.Objectives), maxObjectives)
	}
	return firstError(
		func() error { return checkText("RequestID", document.RequestID) },
		func() error { return checkEach("Services", document.Services, checkService) },
		func() error {
			return checkEach("JobKinds", document.JobKinds, func(path string, kind JobKind) error {
				return checkJobKind(path, kind, document)
			})
		},
		func() error { return checkEach("Callers", document.Callers, checkCaller) },
		func() error { return checkEach("Drains", document.Drains, checkDrain) },
		func() error {
			return checkEach("Objectives", document.Objectives, func(path string, objective Objective) error {
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
		return invalid("%s.Service: missing, want the name of a service", path)
	case !ok:
		return unknownName(path+".Service", kind.Service, "Services", sortedNames(document.Services))
	case service.Retired && !kind.Retired:
		return invalid("%s.Service: %q is retired, want a service in use, or a retired job kind", path, kind.Service)
	case kind.MaxTasks < 1 || kind.MaxTasks > rattanjob.MaxTasks:
		return invalid("%s.MaxTasks: %d, want 1 to %d", path, kind.MaxTasks, rattanjob.MaxTasks)
	case deadline < minDeadline || deadline > rattanjob.MaxDeadline:
		return invalid("%s.Deadline: %v, want %v to %v", path, deadline, minDeadline, rattanjob.MaxDeadline)
	case runTime < 0 || runTime > deadline:
		return invalid("%s.RunTime: %v, want 0s to the deadline (%v)", path, runTime, deadline)
	}
	return firstError(
		func() error { return checkRange(path+".CoresPerTask", kind.CoresPerTask, maxPerTarget) },
		func() error { return checkRange(path+".MemoryMBPerTask", kind.MemoryMBPerTask, maxPerTarget) },
		func() error { return checkRange(path+".AcceleratorsPerTask", kind.AcceleratorsPerTask, maxPerTarget) },
		func() error { return checkRange(path+".MaxPayloadBytes", kind.MaxPayloadBytes, rattanjob.MaxBodySize) },
	)
}

func checkCaller(path string, caller Caller) error {
	// The negated comparison refuses NaN, too.
	if !(caller.Weight > 0 && caller.Weight <= maxWeight) {
		return invalid("%s.Weight: %v, want above 0 and at most %d", path, caller.Weight, maxWeight)
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
			return unknownName(path+".Kind", objective.Kind, "JobKinds", sortedNames(document.JobKinds))
		}
	}
	window, threshold := objective.Window.Std(), objective.Threshold.Std()
	switch {
	case !isMeasure(objective.Measure):
		return invalid("%s.Measure: %q, want %s, %s or %s", path, objective.Measure, MeasureAnsweredInTime, MeasureShortWait, MeasureRefused)
	case !(objective.Goal > 0 && objective.Goal < 1):
		return invalid("%s.Goal: %v, want above 0 and below 1", path, objective.Goal)
	case window < minWindow || window > maxWindow:
		return invalid("%s.Window: %v, want %v to %v", path, window, minWindow, maxWindow)
	case threshold < 0 || threshold > rattanjob.MaxDeadline:
		return invalid("%s.Threshold: %v, want 0s to %v", path, threshold, rattanjob.MaxDeadline)
	case objective.Measure == MeasureShortWait && threshold == 0:
		return invalid("%s.Threshold: missing, want the longest good wait", path)
	case objective.Measure == MeasureRefused && threshold != 0:
		return invalid("%s.Threshold: %v, want none with measure %s", path, threshold, MeasureRefused)
	}
	return nil
}

// checkEach checks the names and the entries of a section in sorted order.
func checkEach[T any](section string, entries map[string]T, check func(path string, entry T) error) error {
	for _, name := range sortedNames(entries) {
		if !rattanjson.IsName(name) {
			return invalid("%s: name %.80q, want %s", section, name, rattanjson.NameRule)
		}
		if err := check(section+"."+name, entries[name]); err != nil {
			return err
		}
	}
	return nil
}

func checkRange(path string, value, limit int) error {
	if value < 0 || value > limit {
		return invalid("%s: %d, want 0 to %d", path, value, limit)
	}
	return nil
}

func checkText(path, text string) error {
	if len(text) > maxTextLength || !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl) {
		return invalid("%s: want one line of at most %d bytes of UTF-8 without control characters", path, maxTextLength)
	}
	return nil
}

func unknownName(path, name, section string, names []string) error {
	if nearest := rattanjson.Nearest(name, names); nearest != "" {
		return invalid("%s: no %q in %s, did you mean %q?", path, name, section, nearest)
	}
	return invalid("%s: no %q in %s", path, name, section)
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

func invalid(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), ErrDocument)
}
