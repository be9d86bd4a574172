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

// Config configures a Scheduler. Zero values select the defaults.
type Config struct {
	// MaxWait bounds the ageing of long jobs: jobs of the same caller that are
	// admitted more than MaxWait later never overtake a long job. It is also
	// how long a job waits for resources before a target is reserved for it.
	// Default 3 s.
	MaxWait time.Duration
	// MaxOvertaking is the same ageing bound for jobs that are not long.
	// Default 4 s.
	MaxOvertaking time.Duration
	// SizeWeight scales how far the expected remaining work of a job, expressed
	// as run time on all slots of the service, moves it behind smaller jobs
	// while that delay is well below the ageing bound. Default 128.
	SizeWeight float64
	// FairBurst is how far a caller may run ahead of its fair share before
	// callers within their share take precedence, expressed as the time for
	// which the caller uses twice its share. It applies to long work and while
	// callers compete for slots; otherwise the tolerance is 4 times as large.
	// Default 5 s.
	FairBurst time.Duration
	// LongTaskThreshold is the 90th percentile of observed run times above
	// which a job kind is classified as long. Default 2 s.
	LongTaskThreshold time.Duration
	// MaxLongShare is the largest share of a service's slots that long work may
	// occupy while short work is active. Default 0.6.
	MaxLongShare float64
	// ShortActivePeriod is how long short work counts as active after its last
	// admission or start. Default 10 s.
	ShortActivePeriod time.Duration
	// MaxEjectedShare is the largest share of a service's targets that may be
	// ejected at the same time. Default 0.3.
	MaxEjectedShare float64
	// RetryRatio is the largest ratio of retries to recent starts. Default 0.1.
	RetryRatio float64
	// MinRetriesPerSecond is the number of retries per second that is allowed
	// regardless of RetryRatio. Default 10.
	MinRetriesPerSecond float64
	// UnresolvedGracePeriod is how long after the deadline of its job an
	// unresolved task is still assumed to occupy its slot. Default 1 s.
	UnresolvedGracePeriod time.Duration
	// Random is the source of jitter. The default is a generator with a fixed
	// seed.
	Random Random
	// PanicOnViolation makes a violated invariant panic. It is meant for tests.
	PanicOnViolation bool
}

func (c *Config) setDefaults() {
	setDefault(&c.MaxWait, 3*time.Second)
	setDefault(&c.MaxOvertaking, 4*time.Second)
	setDefault(&c.SizeWeight, 128)
	setDefault(&c.FairBurst, 5*time.Second)
	setDefault(&c.LongTaskThreshold, 2*time.Second)
	setDefault(&c.MaxLongShare, 0.6)
	setDefault(&c.ShortActivePeriod, 10*time.Second)
	setDefault(&c.MaxEjectedShare, 0.3)
	setDefault(&c.RetryRatio, 0.1)
	setDefault(&c.MinRetriesPerSecond, 10)
	setDefault(&c.UnresolvedGracePeriod, time.Second)
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
