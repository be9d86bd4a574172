// Package rattanday plays a day of traffic on the schedulers of several
// availability zones in virtual time, and compares what callers get with what a
// scheduler would serve that knows all run times and has one queue for all
// zones. It leaves out messages, processor time and faults, so the difference is
// that of the decisions.
package rattanday

import (
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// ErrInvalidDay means that a description of a day cannot be played.
const ErrInvalidDay = errors.ConstError("invalid day")

// Day describes a deployment and its traffic.
type Day struct {
	// Length is how long callers submit jobs.
	Length rattanjson.Duration
	Zones  []Zone
	Kinds  []Kind
	Bursts []Burst
	// Evacuations apply to the product alone: the schedulers with advantages over it
	// keep all targets.
	Evacuations []Evacuation `json:",omitempty"`
	Losses      []Loss
}

// Zone is an availability zone with its targets and the jobs of its callers.
type Zone struct {
	Name    string
	Targets int
	// MilliCPU lists the capacities of the targets, Speeds the factors by which
	// their run times are longer than on the fastest; both are used in turn.
	MilliCPU []int
	Speeds   []float64
	// JobsPerSecond is the mean rate. It follows a sine wave of the given
	// period, up to Swing times the mean above and below it; Phase, from 0 to 1,
	// is the part of the period at which the day begins.
	JobsPerSecond float64
	Swing         float64
	Period        rattanjson.Duration
	Phase         float64
}

// Kind describes the jobs of one kind, which have one step.
type Kind struct {
	Name string
	// Share is the relative frequency of the kind.
	Share    float64
	MinTasks int
	MaxTasks int
	MilliCPU int
	// MilliCPUSpread is the part by which the demand of a job's tasks is above or
	// below MilliCPU at most.
	MilliCPUSpread float64
	// RunTime is the median run time of a task on the fastest targets, Sigma the
	// standard deviation of its logarithm. A part of TailShare of the tasks runs
	// TailFactor times as long.
	RunTime    rattanjson.Duration
	Sigma      float64
	TailShare  float64
	TailFactor float64
	// DeclaredFactor is the factor by which the declared run time of a job is
	// too high or too low at most, at least 1.
	DeclaredFactor float64
	// A job meets its objective if it is complete after Latency plus Slack times
	// its longest run time. Callers wait until Timeout.
	Latency rattanjson.Duration
	Slack   float64
	Timeout rattanjson.Duration
	// Worth is the value of an answer that meets the objective, LateWorth that of
	// a later one, up to a multiple of the objective.
	Worth     float64
	LateWorth float64
	// Priority is the priority of the route; lower values are served first.
	Priority int
}

// Burst multiplies the rate of a zone or kind for a while. An empty Zone or Kind
// means all.
type Burst struct {
	At     rattanjson.Duration
	For    rattanjson.Duration
	Factor float64
	Zone   string
	Kind   string
}

// Loss takes targets out of service for a while. Their runs go on.
type Loss struct {
	At  rattanjson.Duration
	For rattanjson.Duration
	// Every is n if the loss takes every n-th target of each zone.
	Every int
}

// Read reads the description of a day from a JSON file and checks it.
func Read(path string) (*Day, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	day := &Day{}
	if err := rattanjson.DecodeStrict(data, day); err != nil {
		return nil, errors.Annotate(err, path)
	}
	return day, errors.Annotate(day.Check(), path)
}

// Check returns ErrInvalidDay with the invalid key, if there is one.
func (d *Day) Check() error {
	switch {
	case d.Length <= 0:
		return invalidKey("Length", "must be positive")
	case len(d.Zones) == 0:
		return invalidKey("Zones", "must not be empty")
	case len(d.Kinds) == 0:
		return invalidKey("Kinds", "must not be empty")
	}
	for i := range d.Zones {
		if err := d.Zones[i].check(); err != nil {
			return errors.Annotatef(err, "Zones[%d]", i)
		}
	}
	for i := range d.Kinds {
		if err := d.Kinds[i].check(); err != nil {
			return errors.Annotatef(err, "Kinds[%d]", i)
		}
	}
	for i := range d.Bursts {
		if err := d.checkBurst(&d.Bursts[i]); err != nil {
			return errors.Annotatef(err, "Bursts[%d]", i)
		}
	}
	for i := range d.Evacuations {
		if err := d.checkEvacuation(&d.Evacuations[i]); err != nil {
			return errors.Annotatef(err, "Evacuations[%d]", i)
		}
	}
	for i := range d.Losses {
		if d.Losses[i].For <= 0 || d.Losses[i].At < 0 || d.Losses[i].Every <= 0 {
			return errors.Annotatef(invalidKey("For", "must be positive, like Every, and At not negative"), "Losses[%d]", i)
		}
	}
	return nil
}

func (z *Zone) check() error {
	switch {
	case z.Name == "":
		return invalidKey("Name", "must not be empty")
	case z.Targets <= 0 || len(z.MilliCPU) == 0 || len(z.Speeds) == 0:
		return invalidKey("Targets", "must be positive, with MilliCPU and Speeds")
	case z.JobsPerSecond < 0 || z.Swing < 0 || z.Swing > 1:
		return invalidKey("JobsPerSecond", "must not be negative, and Swing from 0 to 1")
	case z.Swing > 0 && z.Period <= 0:
		return invalidKey("Period", "must be positive with Swing")
	}
	for _, speed := range z.Speeds {
		if speed < 1 {
			return invalidKey("Speeds", "must be at least 1")
		}
	}
	return nil
}

func (k *Kind) check() error {
	switch {
	case k.Name == "":
		return invalidKey("Name", "must not be empty")
	case k.Share <= 0:
		return invalidKey("Share", "must be positive")
	case k.MinTasks < 1 || k.MaxTasks < k.MinTasks:
		return invalidKey("MinTasks", "must be at least 1 and at most MaxTasks")
	case k.MilliCPU <= 0 || k.RunTime <= 0:
		return invalidKey("RunTime", "must be positive, like MilliCPU")
	case k.MilliCPUSpread < 0 || k.MilliCPUSpread >= 1:
		return invalidKey("MilliCPUSpread", "must be from 0 to below 1")
	case k.TailShare < 0 || k.TailShare > 1 || (k.TailShare > 0 && k.TailFactor < 1):
		return invalidKey("TailShare", "must be from 0 to 1, and TailFactor at least 1")
	case k.DeclaredFactor < 1:
		return invalidKey("DeclaredFactor", "must be at least 1")
	case k.Latency <= 0 || k.Slack < 1 || k.Timeout <= 0:
		return invalidKey("Latency", "must be positive, like Timeout, and Slack at least 1")
	case k.Worth <= 0 || k.LateWorth < 0 || k.LateWorth > k.Worth:
		return invalidKey("Worth", "must be positive and at least LateWorth")
	}
	return nil
}

func (d *Day) checkBurst(b *Burst) error {
	zones, kinds := b.Zone == "", b.Kind == ""
	for i := range d.Zones {
		zones = zones || d.Zones[i].Name == b.Zone
	}
	for i := range d.Kinds {
		kinds = kinds || d.Kinds[i].Name == b.Kind
	}
	switch {
	case b.For <= 0 || b.At < 0 || b.Factor <= 0:
		return invalidKey("For", "must be positive, like Factor, and At not negative")
	case !zones:
		return invalidKey("Zone", "no such zone")
	case !kinds:
		return invalidKey("Kind", "no such kind")
	}
	return nil
}

func invalidKey(key, reason string) error {
	return errors.WithType(errors.Errorf("%s: %s", key, reason), ErrInvalidDay)
}

// covers reports whether the burst applies to jobs of the zone and kind at the
// given time of the day.
func (b *Burst) covers(at time.Duration, zone *Zone, kind *Kind) bool {
	return at >= b.At.Std() && at < (b.At+b.For).Std() && (b.Zone == "" || b.Zone == zone.Name) && (b.Kind == "" || b.Kind == kind.Name)
}

// takes reports whether the target with the index is out of service at the given
// time of the day.
func (l *Loss) takes(at time.Duration, index int) bool {
	return at >= l.At.Std() && at < (l.At+l.For).Std() && index%l.Every == 0
}

// lost reports whether the target with the index in its zone is out of service.
func (d *Day) lost(at time.Duration, index int) bool {
	for i := range d.Losses {
		if d.Losses[i].takes(at, index) {
			return true
		}
	}
	return false
}
