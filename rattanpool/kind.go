package rattanpool

import (
	"math"
	"time"
)

const (
	bucketsPerOctave = 4
	bucketCount      = 96
	firstBucket      = time.Millisecond

	// learnedSamples is the number of run times from which on the declared run
	// time is ignored; declared values are off by up to 10 times.
	learnedSamples = 8
	// decayWeight is the number of samples at which the histogram is halved, so
	// that it follows a change within about a thousand tasks.
	decayWeight = 1024
	// refreshEvery bounds the cost of the quantiles, which scan all buckets.
	refreshEvery = 32

	defaultRunTime = 250 * time.Millisecond
	// longHysteresis keeps a kind near the limit from changing at each sample.
	longHysteresis = 0.8
	// overrunFactor is how many times its expected run time a task may run
	// before it counts as long.
	overrunFactor = 3
)

// kindKey names a job kind of a service.
type kindKey struct {
	service string
	kind    string
}

// kind holds the learned run times of a job kind.
type kind struct {
	id      int
	service *service
	// waiting is the number of waiting and parked tasks.
	waiting int
	long    bool

	declared time.Duration
	buckets  [bucketCount]float32
	weight   float32
	samples  int
	stale    int
	sum      float64 // decayed with the buckets, in nanoseconds

	mean    time.Duration
	median  time.Duration
	p90     time.Duration
	octaves float64 // mean of the run times in octaves

	// oldest and newest are the ends of the list of running tasks that do not
	// count as long, in order of their start.
	oldest, newest *task
}

func (k *kind) learned() bool {
	return k.samples >= learnedSamples
}

// expected returns the mean run time of a task.
func (k *kind) expected() time.Duration {
	if k.learned() {
		return k.mean
	}
	if k.declared > 0 {
		return k.declared
	}
	return defaultRunTime
}

// typical returns the median run time of a task.
func (k *kind) typical() time.Duration {
	if k.learned() {
		return k.median
	}
	return k.expected()
}

// overrun returns the run time from which on a task counts as long.
func (k *kind) overrun() time.Duration {
	return overrunFactor * k.expected()
}

// learn adds the run time of a task, also given in octaves.
func (k *kind) learn(runTime time.Duration, octaves float64) {
	runTime = max(runTime, firstBucket)
	k.buckets[bucketOf(octaves)]++
	k.weight++
	k.samples++
	k.stale++
	k.sum += float64(runTime)
	k.octaves += (octaves - k.octaves) / float64(min(k.samples, 256))
	if k.weight >= decayWeight {
		k.decay()
	}
	if k.stale >= min(refreshEvery, 1+k.samples/8) {
		k.refresh()
	}
}

func (k *kind) decay() {
	for i := range k.buckets {
		k.buckets[i] /= 2
	}
	k.weight /= 2
	k.sum /= 2
}

func (k *kind) refresh() {
	k.stale = 0
	k.mean = time.Duration(k.sum / float64(k.weight))
	k.median = k.quantile(0.5)
	k.p90 = k.quantile(0.9)
}

// quantile returns the geometric middle of the bucket that holds the quantile.
func (k *kind) quantile(q float64) time.Duration {
	rest := float32(q) * k.weight
	for i, count := range k.buckets {
		rest -= count
		if rest <= 0 && count > 0 {
			return bucketMiddle(i)
		}
	}
	return k.typical()
}

// longest returns the expected run time of the longest of a number of tasks.
// It stays below the rare tasks that run many times longer than the rest, which
// must not get whole jobs refused.
func (k *kind) longest(tasks int) time.Duration {
	if !k.learned() {
		return k.expected()
	}
	return k.quantile(min(0.95, float64(tasks)/float64(tasks+1)))
}

// nowLong returns whether the kind counts as long.
func (k *kind) nowLong(limit time.Duration) bool {
	value := k.declared
	if k.learned() {
		value = k.p90
	}
	if k.long {
		limit = time.Duration(longHysteresis * float64(limit))
	}
	return value > limit
}

func (k *kind) link(started *task) {
	started.previous = k.newest
	if k.newest != nil {
		k.newest.next = started
	} else {
		k.oldest = started
	}
	k.newest = started
}

func (k *kind) unlink(ended *task) {
	if ended.previous != nil {
		ended.previous.next = ended.next
	} else {
		k.oldest = ended.next
	}
	if ended.next != nil {
		ended.next.previous = ended.previous
	} else {
		k.newest = ended.previous
	}
	ended.previous, ended.next = nil, nil
}

// octavesOf returns the run time in octaves above firstBucket.
func octavesOf(runTime time.Duration) float64 {
	return math.Log2(float64(max(runTime, firstBucket)) / float64(firstBucket))
}

func bucketOf(octaves float64) int {
	return min(int(bucketsPerOctave*octaves), bucketCount-1)
}

func bucketMiddle(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2((float64(bucket)+0.5)/bucketsPerOctave))
}
