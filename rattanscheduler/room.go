package rattanscheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// sizeClasses is the number of size classes of tasks. Each class is larger by a
	// quarter of a doubling than the one before, so that tasks of 8 cores plus or minus
	// a fifth, of which two may or may not fit on 16 cores, fall into several classes.
	sizeClasses = 29
	// smallestClass is the processor demand of the first class in thousandths of a core.
	// The last class has 128 times as much.
	smallestClass = 500
	// maxRooms bounds the number of services whose room is reported, maxWaits that of
	// the priorities with a wait of their own.
	maxRooms = 4
	maxWaits = 4
	// maxReportedWait bounds a reported wait in milliseconds: a day, for which no caller
	// waits.
	maxReportedWait = 86_400_000
)

// classSizes contains the processor demand of each class.
var classSizes = func() (sizes [sizeClasses]int) {
	// Thousandths of the powers of 2^(1/4).
	steps := [...]int{1000, 1189, 1414, 1682}
	for i := range sizes {
		sizes[i] = smallestClass * steps[i%4] / 1000 << (i / 4)
	}
	return sizes
}()

// fitSymbols stand for numbers of tasks, symbolValues contains the least number that each
// one stands for: exact up to 16, then in steps of a quarter.
const fitSymbols = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

var symbolValues = func() (values [len(fitSymbols)]int) {
	for i := range values {
		values[i] = i
		if i > 16 {
			values[i] = values[i-1] * 5 / 4
		}
	}
	return values
}()

// FitCounts contains, for each size class, how many tasks of that size fit on the targets
// at the same time. A sum of free capacity does not tell: two tasks of 9 cores do not fit
// on a target of 16.
type FitCounts [sizeClasses]int

// classOf returns the smallest class of tasks that are not smaller than the demand, false
// if the demand is larger than all classes.
func classOf(milliCPU int) (int, bool) {
	class, _ := slices.BinarySearch(classSizes[:], milliCPU)
	return class, class < sizeClasses
}

// add adds the room on a target with the free processor capacity, times sign.
func (f *FitCounts) add(milliCPU, sign int) {
	for class, size := range classSizes {
		if size > milliCPU {
			return
		}
		f[class] += sign * (milliCPU / size)
	}
}

// of returns how many tasks with the demand fit at least.
func (f *FitCounts) of(milliCPU int) int {
	class, ok := classOf(milliCPU)
	if !ok {
		return 0
	}
	return f[class]
}

// mayFit reports whether that many tasks with the demand may fit. Nothing is known of
// tasks that are larger than all classes.
func (f *FitCounts) mayFit(milliCPU, tasks int) bool {
	class, ok := classOf(milliCPU)
	return !ok || f[class] >= tasks
}

// take reserves room for tasks with the demand. Since a task goes to the target that it
// leaves the least room on, it takes the place of a larger task in proportion only.
func (f *FitCounts) take(milliCPU, tasks int) {
	for class, size := range classSizes {
		f[class] = max(0, f[class]-(tasks*milliCPU+size/2)/size)
	}
}

// String returns a symbol for each class up to the last one for which there is room.
// Numbers are rounded down.
func (f *FitCounts) String() string {
	text := make([]byte, 0, sizeClasses)
	for _, count := range f {
		symbol, found := slices.BinarySearch(symbolValues[:], count)
		if !found {
			symbol--
		}
		if symbol <= 0 {
			break
		}
		text = append(text, fitSymbols[symbol])
	}
	return string(text)
}

// parseFitCounts reads what String returns. Further classes and unknown symbols of
// another version count as no room.
func parseFitCounts(text string) (f FitCounts) {
	for class := range min(len(text), sizeClasses) {
		if symbol := strings.IndexByte(fitSymbols, text[class]); symbol > 0 {
			f[class] = symbolValues[symbol]
		}
	}
	return f
}

// ServiceRoom is the room for tasks of one service in a zone.
type ServiceRoom struct {
	Service string
	// MilliCPU is the capacity of the targets that take work.
	MilliCPU int
	Fits     FitCounts
	// Waits is empty if no job waits and the usual tasks have room. It is sorted by
	// priority. A priority that is not listed waits as long as the next one before it.
	Waits []PriorityWait
}

// PriorityWait is the expected wait of a new job.
type PriorityWait struct {
	Priority int
	Millis   int64
}

// MarshalText returns the room in few bytes, because each claim contains it: the counts,
// the capacity, the waits as PRIORITY:MILLISECONDS and the service, separated by spaces.
func (r ServiceRoom) MarshalText() ([]byte, error) {
	waits := make([]string, len(r.Waits))
	for i, entry := range r.Waits {
		waits[i] = fmt.Sprintf("%d:%d", entry.Priority, entry.Millis)
	}
	return fmt.Appendf(nil, "%s %d %s %s", r.Fits.String(), r.MilliCPU, strings.Join(waits, ","), r.Service), nil
}

// UnmarshalText reads what MarshalText returns. In another form, the room is that of no
// service: it is no reason to refuse a claim.
func (r *ServiceRoom) UnmarshalText(text []byte) error {
	*r = ServiceRoom{}
	fields := strings.SplitN(string(text), " ", 4)
	if len(fields) != 4 {
		return nil
	}
	milliCPU, err := strconv.Atoi(fields[1])
	if err != nil {
		return nil
	}
	waits, ok := parseWaits(fields[2])
	if !ok {
		return nil
	}
	*r = ServiceRoom{Service: fields[3], MilliCPU: milliCPU, Fits: parseFitCounts(fields[0]), Waits: waits}
	return nil
}

// parseWaits reads a list of waits.
func parseWaits(text string) (waits []PriorityWait, ok bool) {
	if text == "" {
		return nil, true
	}
	for part := range strings.SplitSeq(text, ",") {
		priority, millis, _ := strings.Cut(part, ":")
		number, err := strconv.Atoi(priority)
		if err != nil {
			return nil, false
		}
		value, err := strconv.ParseInt(millis, 10, 64)
		if err != nil || value < 0 || value > maxReportedWait {
			return nil, false
		}
		waits = append(waits, PriorityWait{Priority: number, Millis: value})
	}
	return waits, true
}

// wait returns the expected wait of a new job.
func (r *ServiceRoom) wait(priority int) time.Duration {
	wait := time.Duration(0)
	for _, entry := range r.Waits {
		if entry.Priority <= priority {
			wait = time.Duration(entry.Millis) * time.Millisecond
		}
	}
	return wait
}

// addWork adds the work of a redirected job to the waits of the jobs that start after it.
func (r *ServiceRoom) addWork(priority int, work float64) {
	if r.MilliCPU <= 0 {
		return
	}
	wait := r.wait(priority)
	index, found := slices.BinarySearchFunc(r.Waits, priority, func(entry PriorityWait, priority int) int { return cmp.Compare(entry.Priority, priority) })
	if !found {
		r.Waits = slices.Insert(r.Waits, index, PriorityWait{Priority: priority, Millis: wait.Milliseconds()})
	}
	for i := range r.Waits[index:] {
		r.Waits[index+i].Millis += time.Duration(work / float64(r.MilliCPU)).Milliseconds()
	}
}

// Rooms returns the room for the services with the largest capacity, at most maxRooms of
// them. The list is not nil.
func (s *Scheduler) Rooms(now time.Time) []ServiceRoom {
	s.refreshTargets(now)
	names := make([]string, 0, len(s.services))
	for name, state := range s.services {
		if state.pool.expectedMilliCPU() > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.services[b].pool.expectedMilliCPU(), s.services[a].pool.expectedMilliCPU()), cmp.Compare(a, b))
	})
	names = names[:min(len(names), maxRooms)]
	rooms := make([]ServiceRoom, 0, len(names))
	for _, name := range names {
		state := s.services[name]
		rooms = append(rooms, ServiceRoom{Service: name, MilliCPU: state.pool.expectedMilliCPU(), Fits: state.pool.fits, Waits: state.reportedWaits(now)})
	}
	return rooms
}

// reportedWaits returns the expected waits of new jobs, for at most maxWaits priorities. If there
// are more, the last one has the wait of all others.
func (s *serviceState) reportedWaits(now time.Time) []PriorityWait {
	if s.expectsEnds() && !s.pool.mostlyUnknown() {
		return s.waitsByEnds(now)
	}
	if s.queue.jobs == 0 {
		return nil
	}
	work := map[int]float64{}
	for _, class := range s.queue.classes {
		priority := class.priority
		if class.started {
			priority = 0
		}
		for _, block := range class.blocks {
			work[priority] += block.work
		}
	}
	priorities := make([]int, 0, len(work))
	for priority := range work {
		priorities = append(priorities, priority)
	}
	slices.Sort(priorities)
	var list []PriorityWait
	ahead := 0.0
	for _, priority := range priorities {
		ahead += work[priority]
		list = appendWait(list, priority, ahead/float64(max(1, s.pool.expectedMilliCPU())))
	}
	return list
}

// appendWait appends a wait in nanoseconds to a list of at most maxWaits.
func appendWait(list []PriorityWait, priority int, wait float64) []PriorityWait {
	millis := int64(min(wait/1e6, maxReportedWait))
	if len(list) == maxWaits {
		list[maxWaits-1].Millis = millis
		return list
	}
	return append(list, PriorityWait{Priority: priority, Millis: millis})
}

// waitsByEnds returns for how long admission control expects new jobs to wait for the ends
// of runs, behind all jobs of their priority. Such a job has one task, as large as the
// running ones on average: the zone that asks adds the time for the work of its job.
func (s *serviceState) waitsByEnds(now time.Time) []PriorityWait {
	usual := waitDemand{own: backlogSum{milliCPU: int(s.releases.total) / s.releases.runs}, byEnds: true}
	if s.queue.jobs == 0 && usual.own.milliCPU <= s.pool.maxFree().MilliCPU {
		return nil
	}
	list := make([]PriorityWait, 0, maxWaits)
	ahead := backlogSum{}
	for _, class := range s.queue.classes {
		if class.started {
			for _, block := range class.blocks {
				ahead.add(block.backlogSum)
			}
			continue
		}
		inClass := backlogSum{}
		class.addBacklog(onTimeKeys(now.UnixNano()), &inClass)
		ahead.add(inClass)
		usual.priority, usual.factor = class.priority, s.waits[waitKey{class.priority, allSizes}].factor()
		list = appendWait(list, class.priority, float64(s.admissionWait(usual, ahead, inClass, 0, now)))
	}
	return list
}
