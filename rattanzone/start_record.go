package rattanzone

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanscheduler"
)

// maxStartLists bounds the number of homes whose start lists are kept.
const maxStartLists = 64

// StartListMessage is a start list that a home sends to the instances that must know
// of its start requests if it is lost.
type StartListMessage struct {
	Zone string
	List rattanhome.StartList
}

// startRecord keeps the last start list of each home of any zone for as long as its
// start requests may be carried out. It is safe for concurrent use.
type startRecord struct {
	mutex sync.Mutex
	lists map[homeKey]receivedStarts
}

// homeKey identifies a home: fencing tokens of one zone differ.
type homeKey struct {
	zone         string
	fencingToken int64
}

type receivedStarts struct {
	number     int64
	starts     []rattanhome.ListedStart
	receivedAt time.Time
}

// remaining returns how long the start requests may still be active.
func (r *receivedStarts) remaining(now time.Time) time.Duration {
	return r.receivedAt.Add(rattanscheduler.LateStartBound).Sub(now)
}

// replace keeps a list in place of the former one of its home, unless that is newer,
// and reports whether it has.
func (r *startRecord) replace(message *StartListMessage, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := homeKey{message.Zone, message.List.FencingToken}
	known, ok := r.lists[key]
	if ok && known.number >= message.List.Number {
		return false
	}
	if !ok {
		r.makeRoom(now)
	}
	r.lists[key] = receivedStarts{number: message.List.Number, starts: message.List.Starts, receivedAt: now}
	return true
}

// makeRoom forgets the lists that have expired, and the oldest one if there are too
// many.
func (r *startRecord) makeRoom(now time.Time) {
	if r.lists == nil {
		r.lists = map[homeKey]receivedStarts{}
	}
	maps.DeleteFunc(r.lists, func(_ homeKey, list receivedStarts) bool { return list.remaining(now) <= 0 })
	if len(r.lists) < maxStartLists {
		return
	}
	var oldest homeKey
	for key, list := range r.lists {
		if oldest == (homeKey{}) || list.receivedAt.Before(r.lists[oldest].receivedAt) {
			oldest = key
		}
	}
	delete(r.lists, oldest)
}

// ofZone returns the start requests of all homes of a zone that may still be carried
// out.
func (r *startRecord) ofZone(zone string, now time.Time) []rattanscheduler.OutstandingStart {
	return r.matching(now, func(key homeKey, _ rattanhome.ListedStart) bool { return key.zone == zone })
}

// ofFormerHomes returns the start requests of the homes of a zone before one that may
// still be carried out.
func (r *startRecord) ofFormerHomes(zone string, fencingToken int64, now time.Time) []rattanscheduler.OutstandingStart {
	return r.matching(now, func(key homeKey, _ rattanhome.ListedStart) bool {
		return key.zone == zone && key.fencingToken < fencingToken
	})
}

// ofJob returns the start requests of a job in the other zone that has listed it last,
// with that zone.
func (r *startRecord) ofJob(jobID, ownZone string, now time.Time) (zone string, starts []rattanscheduler.OutstandingStart) {
	prefix := jobID + "."
	longest := time.Duration(0)
	r.mutex.Lock()
	for key, list := range r.lists {
		if key.zone == ownZone || list.remaining(now) <= longest {
			continue
		}
		for _, start := range list.starts {
			if strings.HasPrefix(start.Task, prefix) {
				zone, longest = key.zone, list.remaining(now)
				break
			}
		}
	}
	r.mutex.Unlock()
	if zone == "" {
		return "", nil
	}
	return zone, r.matching(now, func(key homeKey, start rattanhome.ListedStart) bool {
		return key.zone == zone && strings.HasPrefix(start.Task, prefix)
	})
}

// matching returns the start requests that match and may still be carried out.
func (r *startRecord) matching(now time.Time, matches func(homeKey, rattanhome.ListedStart) bool) []rattanscheduler.OutstandingStart {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var starts []rattanscheduler.OutstandingStart
	for key, list := range r.lists {
		remaining := list.remaining(now)
		if remaining <= 0 {
			continue
		}
		for _, start := range list.starts {
			if matches(key, start) {
				starts = append(starts, rattanscheduler.OutstandingStart{Task: start.Task, Target: start.Target, Attempt: start.Attempt, Remaining: remaining})
			}
		}
	}
	return starts
}
