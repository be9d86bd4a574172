package rattanpool

import (
	"math/rand/v2"
	"time"
)

// Random is the source of jitter; *rand.Rand of math/rand/v2 implements it.
type Random interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
}

// Config sets up a Scheduler. Zero values of fields stand for the defaults.
type Config struct {
	// MaxWait bounds ageing of long jobs: a long job is never overtaken by jobs
	// of its caller that were admitted more than MaxWait after it. It is also how
	// long a job waits for resources before a target is kept free for it.
	// Default 3 s.
	MaxWait time.Duration
	// MaxOvertaking is the bound of ageing for other jobs. Default 4 s.
	MaxOvertaking time.Duration
	// SizeWeight scales how much a job's expected remaining work, as a time of
	// the whole service, delays it behind smaller jobs, as long as the delay is
	// well below its bound. Default 128.
	SizeWeight float64
	// FairBurst is how far a caller may be ahead of its share before callers
	// within their share go first, as a time of its share, for long work and while
	// callers compete for slots; otherwise it may be 4 times as far ahead.
	// Default 5 s.
	FairBurst time.Duration
	// LongTask is the learned 90th percentile of run times above which a job
	// kind is long. Default 2 s.
	LongTask time.Duration
	// LongShare is the share of a service's slots that long work may occupy
	// while short work is present. Default 0.6.
	LongShare float64
	// ShortPresence is how long short work counts as present after its last
	// admission or start. Default 10 s.
	ShortPresence time.Duration
	// EjectionCap is the largest share of a service's targets that is ejected
	// at a time. Default 0.3.
	EjectionCap float64
	// RetryShare is the share of recent starts that may be retries. Default 0.1.
	RetryShare float64
	// RetryFloor is the number of retries per second that is always allowed.
	// Default 10.
	RetryFloor float64
	// UnresolvedGrace is how long after its job's deadline an unresolved task
	// still counts as holding its slot. Default 1 s.
	UnresolvedGrace time.Duration
	// Random is the source of jitter; nil stands for a source with a fixed seed.
	Random Random
	// PanicOnViolation makes a violated invariant panic; tests set it.
	PanicOnViolation bool
}

func (c *Config) setDefaults() {
	setDefault(&c.MaxWait, 3*time.Second)
	setDefault(&c.MaxOvertaking, 4*time.Second)
	setDefault(&c.SizeWeight, 128)
	setDefault(&c.FairBurst, 5*time.Second)
	setDefault(&c.LongTask, 2*time.Second)
	setDefault(&c.LongShare, 0.6)
	setDefault(&c.ShortPresence, 10*time.Second)
	setDefault(&c.EjectionCap, 0.3)
	setDefault(&c.RetryShare, 0.1)
	setDefault(&c.RetryFloor, 10)
	setDefault(&c.UnresolvedGrace, time.Second)
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
