package rattaninventory

import (
	"maps"
	"slices"
	"time"
)

const (
	// LossShare is the share, in percent, of an availability zone's live
	// instances of a role that may disappear from the platform's list within
	// LossDuration and be believed at once. It is the share of a pool that may be
	// ejected, for the same reason: when more seems broken, the observer is the
	// likely cause.
	LossShare = 30
	// LossDuration is how long a larger loss has to last before it is believed. A
	// faulty list of a platform that restarts is shorter than that. Meanwhile the
	// targets that are really gone refuse connections, which starts nothing.
	LossDuration = time.Minute
	// FullReadInterval is how often the whole list is read. Between two such
	// readings only the parts of known availability zones are, so it bounds the
	// time until a new zone is noticed. A reading takes 1.8 MB at 9,000
	// instances, which is 0.5 KB/s.
	FullReadInterval = time.Hour
)

// Reader decides what a watcher reads from the platform and makes a list of the
// answers. It asks for the parts of the availability zones, because a change in
// one zone then costs that zone's part only.
//
// An instance that was live and is not in the platform's list any more is
// dropped at once if it is the only one, if those lost within LossDuration are
// all that one rack had, or if they are at most LossShare of the zone's
// instances of that role. Otherwise it is kept until it has been gone for
// LossDuration, and for as long as no live instance of the role is left in the
// zone: a list without any target is of no use, and keeping the last one costs
// nothing. Instances that the platform adds, changes or sets to Leaving are
// never held back, and a leaving instance may disappear at any time.
//
// It is not safe for concurrent use.
type Reader struct {
	parts   map[string]*part
	wholeAt time.Time
	// merged and kept are the results of the last Merge.
	merged uint64
	kept   int
}

// part is what the platform last said of one availability zone.
type part struct {
	etag      string
	instances []Instance
	// lost are the live instances that have disappeared within LossDuration or
	// are kept although they have disappeared, by name.
	lost map[string]loss
}

type loss struct {
	instance Instance
	since    time.Time
}

// NewReader returns a reader that has read nothing.
func NewReader() *Reader {
	return &Reader{parts: map[string]*part{}}
}

// Queries returns what to ask the platform for, given the list in use: the
// whole list when none is in use or after FullReadInterval, and otherwise the part
// of each availability zone.
func (r *Reader) Queries(now time.Time, inUse List) []Query {
	if r.wholeAt.IsZero() && inUse.Hash != 0 {
		// A list that came from a peer is as good as a reading.
		r.wholeAt = now
	}
	zones := r.zones(inUse)
	if len(zones) == 0 || now.Sub(r.wholeAt) >= FullReadInterval {
		return []Query{{}}
	}
	queries := make([]Query, 0, len(zones))
	for _, zone := range zones {
		query := Query{AvailabilityZone: zone}
		if known := r.parts[zone]; known != nil {
			query.ETag = known.etag
		}
		queries = append(queries, query)
	}
	return queries
}

// Merge takes in the replies to the queries, in their order, and returns the
// list to put in use and the number of instances in it that the platform does
// not list. A reply counts for the instances of its availability zone only.
func (r *Reader) Merge(now time.Time, inUse List, queries []Query, replies []Reply) (list List, kept int) {
	unchanged := r.kept == 0 && r.merged == inUse.Hash
	for i, query := range queries {
		if replies[i].NotModified {
			continue
		}
		unchanged = false
		r.take(now, inUse, query, replies[i])
	}
	if unchanged {
		return inUse, 0
	}
	r.kept = 0
	var instances []Instance
	for _, zone := range slices.Sorted(maps.Keys(r.parts)) {
		retained := r.parts[zone].retain(now, inUse.Instances, zone)
		r.kept += len(retained)
		instances = append(append(instances, r.parts[zone].instances...), retained...)
	}
	list = NewList(instances)
	r.merged = list.Hash
	return list, r.kept
}

// zones returns the availability zones of the list in use and of the parts.
func (r *Reader) zones(inUse List) []string {
	zones := map[string]bool{}
	for i := range inUse.Instances {
		zones[inUse.Instances[i].AvailabilityZone] = true
	}
	for zone := range r.parts {
		zones[zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// take takes in one reply.
func (r *Reader) take(now time.Time, inUse List, query Query, reply Reply) {
	byZone := map[string][]Instance{}
	for i := range reply.Instances {
		zone := reply.Instances[i].AvailabilityZone
		byZone[zone] = append(byZone[zone], reply.Instances[i])
	}
	if query.AvailabilityZone != "" {
		r.part(query.AvailabilityZone).replace(reply.ETag, byZone[query.AvailabilityZone])
		return
	}
	r.wholeAt = now
	for _, zone := range r.zones(inUse) {
		if _, listed := byZone[zone]; !listed {
			byZone[zone] = nil
		}
	}
	for zone, instances := range byZone {
		// A part that did not change keeps its ETag, so that it is not sent
		// once more.
		if known := r.part(zone); !slices.Equal(known.instances, instances) {
			known.replace("", instances)
		}
	}
}

func (r *Reader) part(zone string) *part {
	if r.parts[zone] == nil {
		r.parts[zone] = &part{lost: map[string]loss{}}
	}
	return r.parts[zone]
}

func (p *part) replace(etag string, instances []Instance) {
	p.etag, p.instances = etag, instances
}

// retain returns the instances in use that the part does not list and that are
// not believed to be gone.
func (p *part) retain(now time.Time, inUse []Instance, zone string) []Instance {
	missing := p.missing(inUse, zone)
	p.record(now, missing)
	live := p.live()
	var believed [roleCount]bool
	for role := range roleCount {
		believed[role] = p.believes(role, live[role])
	}
	return slices.DeleteFunc(missing, func(instance Instance) bool {
		lasting := now.Sub(p.lost[instance.Name].since) >= LossDuration
		return believed[instance.Role] || (lasting && live[instance.Role] > 0)
	})
}

// missing returns the live instances in use that the part does not list.
func (p *part) missing(inUse []Instance, zone string) []Instance {
	listed := make(map[string]bool, len(p.instances))
	for i := range p.instances {
		listed[p.instances[i].Name] = true
	}
	for name := range p.lost {
		if listed[name] {
			delete(p.lost, name)
		}
	}
	var missing []Instance
	for i := range inUse {
		if inUse[i].AvailabilityZone == zone && inUse[i].State == StateLive && !listed[inUse[i].Name] {
			missing = append(missing, inUse[i])
		}
	}
	return missing
}

// record notes the losses, and forgets those that are over: dropped from the
// list in use and older than LossDuration.
func (p *part) record(now time.Time, missing []Instance) {
	used := make(map[string]bool, len(missing))
	for _, instance := range missing {
		used[instance.Name] = true
		if _, known := p.lost[instance.Name]; !known {
			p.lost[instance.Name] = loss{instance: instance, since: now}
		}
	}
	for name, lost := range p.lost {
		if !used[name] && now.Sub(lost.since) >= LossDuration {
			delete(p.lost, name)
		}
	}
}

// believes reports whether the losses of a role are plausible beside the number
// of live instances of the role that the part lists.
func (p *part) believes(role Role, live int) bool {
	lost, racks := 0, map[string]bool{}
	for _, one := range p.lost {
		if one.instance.Role == role {
			lost++
			racks[one.instance.Rack] = true
		}
	}
	return live > 0 && (lost <= 1 || p.rackLost(role, racks) || 100*lost <= LossShare*(lost+live))
}

// rackLost reports whether the racks of the losses are one that the part lists
// no live instance of.
func (p *part) rackLost(role Role, racks map[string]bool) bool {
	if len(racks) != 1 || racks[""] {
		return false
	}
	return !slices.ContainsFunc(p.instances, func(instance Instance) bool {
		return racks[instance.Rack] && instance.Role == role && instance.State == StateLive
	})
}

// live returns the number of live instances that the part lists, by role.
func (p *part) live() [roleCount]int {
	var live [roleCount]int
	for i := range p.instances {
		if p.instances[i].State == StateLive {
			live[p.instances[i].Role]++
		}
	}
	return live
}
