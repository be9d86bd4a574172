package rattanpool

import (
	"math"
	"time"
)

const (
	// Run times are counted in a histogram with exponential buckets, the first
	// of which starts at firstBucket.
	bucketsPerDoubling = 4
	bucketCount        = 96
	firstBucket        = time.Millisecond

	// minSamples is the number of observed run times after which the declared
	// run time is ignored; declared values are off by up to 10 times.
	minSamples = 8
	// maxHistogramWeight is the number of samples at which all counts of the
	// histogram are halved, so that the estimates follow a change within about
	// a thousand tasks.
	maxHistogramWeight = 1024
	// maxSamplesPerRefresh bounds the cost of the quantiles, which scan all
	// buckets.
	maxSamplesPerRefresh = 32

	// defaultRunTime is assumed for kinds without a declared run time.
	defaultRunTime = 250 * time.Millisecond
	// longHysteresis keeps a kind near the threshold from changing its class at
	// each sample.
	longHysteresis = 0.8
	// overrunFactor is how many times its expected run time a task may run
	// before it is classified as long.
	overrunFactor = 3
)

// kindKey identifies a job kind of a service.
type kindKey struct {
	service string
	name    string
}

// kind holds the run time statistics of a job kind.
type kind struct {
	index   int
	service *service
	// waiting is the number of waiting tasks, including those awaiting a retry.
	waiting int
	long    bool

	declaredRunTime time.Duration
	// buckets holds the histogram of run times.
	buckets [bucketCount]float32
	// weight is the sum of the buckets.
	weight              float32
	samples             int
	samplesSinceRefresh int
	sum                 float64 // in nanoseconds, halved together with the buckets

	mean     time.Duration
	median   time.Duration
	p90      time.Duration
	meanLog2 float64 // mean of log2RunTime

	// oldestRunning and newestRunning are the ends of the list of running tasks
	// that are not classified as long, in order of their start.
	oldestRunning, newestRunning *task
}

func (k *kind) hasEstimate() bool {
	return k.samples >= minSamples
}

// expectedRunTime returns the mean run time of a task, or the declared one
// while too few run times have been observed.
func (k *kind) expectedRunTime() time.Duration {
	if k.hasEstimate() {
		return k.mean
	}
	if k.declaredRunTime > 0 {
		return k.declaredRunTime
	}
	return defaultRunTime
}

// medianRunTime returns the median run time of a task.
func (k *kind) medianRunTime() time.Duration {
	if k.hasEstimate() {
		return k.median
	}
	return k.expectedRunTime()
}

// overrunLimit returns the run time above which a task is classified as long.
func (k *kind) overrunLimit() time.Duration {
	return overrunFactor * k.expectedRunTime()
}

// addSample adds the run time of a task; log2 is log2RunTime of it.
func (k *kind) addSample(runTime time.Duration, log2 float64) {
	runTime = max(runTime, firstBucket)
	k.buckets[bucketOf(log2)]++
	k.weight++
	k.samples++
	k.samplesSinceRefresh++
	k.sum += float64(runTime)
	k.meanLog2 += (log2 - k.meanLog2) / float64(min(k.samples, 256))
	if k.weight >= maxHistogramWeight {
		k.halveWeights()
	}
	if k.samplesSinceRefresh >= min(maxSamplesPerRefresh, 1+k.samples/8) {
		k.updateStatistics()
	}
}

func (k *kind) halveWeights() {
	for i := range k.buckets {
		k.buckets[i] /= 2
	}
	k.weight /= 2
	k.sum /= 2
}

func (k *kind) updateStatistics() {
	k.samplesSinceRefresh = 0
	k.mean = time.Duration(k.sum / float64(k.weight))
	k.median = k.quantile(0.5)
	k.p90 = k.quantile(0.9)
}

// quantile returns the geometric mean of the bounds of the bucket that contains
// the quantile.
func (k *kind) quantile(q float64) time.Duration {
	remaining := float32(q) * k.weight
	for i, count := range k.buckets {
		remaining -= count
		if remaining <= 0 && count > 0 {
			return bucketMiddle(i)
		}
	}
	return k.medianRunTime()
}

// expectedMaxRunTime returns the expected run time of the longest of a number
// of tasks. It ignores the rare tasks that run many times longer than the rest,
// because they would cause whole jobs to be refused.
func (k *kind) expectedMaxRunTime(tasks int) time.Duration {
	if !k.hasEstimate() {
		return k.expectedRunTime()
	}
	return k.quantile(min(0.95, float64(tasks)/float64(tasks+1)))
}

// exceedsLongThreshold reports whether the kind is to be classified as long.
func (k *kind) exceedsLongThreshold(threshold time.Duration) bool {
	value := k.declaredRunTime
	if k.hasEstimate() {
		value = k.p90
	}
	if k.long {
		threshold = time.Duration(longHysteresis * float64(threshold))
	}
	return value > threshold
}

func (k *kind) addRunning(started *task) {
	started.previous = k.newestRunning
	if k.newestRunning != nil {
		k.newestRunning.next = started
	} else {
		k.oldestRunning = started
	}
	k.newestRunning = started
}

func (k *kind) removeRunning(ended *task) {
	if ended.previous != nil {
		ended.previous.next = ended.next
	} else {
		k.oldestRunning = ended.next
	}
	if ended.next != nil {
		ended.next.previous = ended.previous
	} else {
		k.newestRunning = ended.previous
	}
	ended.previous, ended.next = nil, nil
}

// log2RunTime returns the base-2 logarithm of the run time relative to
// firstBucket.
func log2RunTime(runTime time.Duration) float64 {
	return math.Log2(float64(max(runTime, firstBucket)) / float64(firstBucket))
}

func bucketOf(log2 float64) int {
	return min(int(bucketsPerDoubling*log2), bucketCount-1)
}

func bucketMiddle(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2((float64(bucket)+0.5)/bucketsPerDoubling))
}
