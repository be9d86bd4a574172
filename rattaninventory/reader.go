package rattaninventory

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxLossPercent is the share, in percent, of an availability zone's live
	// instances of a role that may disappear from the platform's list within
	// LossConfirmationTime and are removed at once. It equals the share of a
	// pool that may be ejected, for the same reason: if more appears broken,
	// the observer is the likely cause.
	MaxLossPercent = 30
	// LossConfirmationTime is how long a larger loss must last before the
	// instances are removed. A restarting platform serves a faulty list for
	// less than that. Meanwhile the targets that are really gone refuse
	// connections, so nothing is started on them.
	LossConfirmationTime = time.Minute
	// FullReadInterval is how often the whole list is read. In between only the
	// parts of known availability zones are read, so it bounds the time until a
	// new zone is noticed. Reading the whole list transfers 1.8 MB at 9,000
	// instances, which is 0.5 KB/s.
	FullReadInterval = time.Hour
)

// Reader decides what a watcher reads from the platform and builds a list from
// the replies. It queries each availability zone separately, so that a change
// in one zone only costs the transfer of that zone's part.
//
// A live instance that is missing from the platform's list is removed at once
// if it is the only one missing, if the instances lost within
// LossConfirmationTime are all those of one rack, or if they are at most
// MaxLossPercent of the zone's instances of that role. Otherwise it is kept
// until it has been missing for LossConfirmationTime, and for as long as the
// zone has no live instance of the role left: a list without any target is
// useless, and keeping the last known ones costs nothing. Instances that the
// platform adds, changes or sets to Leaving are never held back, and a leaving
// instance may disappear at any time.
//
// It is not safe for concurrent use.
type Reader struct {
	zoneLists  map[string]*zoneList
	fullReadAt time.Time
	// mergedHash and keptCount are the results of the last Merge.
	mergedHash uint64
	keptCount  int
}

// zoneList is what the platform last returned for one availability zone.
type zoneList struct {
	etag      string
	instances []Instance
	// losses holds, by name, the live instances that disappeared within
	// LossConfirmationTime or that are kept although they disappeared.
	losses map[string]loss
}

// loss is a live instance that the platform has stopped listing.
type loss struct {
	instance     Instance
	missingSince time.Time
}

// NewReader returns a reader that has not read anything yet.
func NewReader() *Reader {
	return &Reader{zoneLists: map[string]*zoneList{}}
}

// Queries returns the queries to send to the platform, given the list in use:
// the whole list if none is in use or after FullReadInterval, and otherwise the
// part of each availability zone.
func (r *Reader) Queries(now time.Time, inUse List) []Query {
	if r.fullReadAt.IsZero() && inUse.Hash != 0 {
		// A list that came from a peer counts as a full read.
		r.fullReadAt = now
	}
	zones := r.zones(inUse)
	if len(zones) == 0 || now.Sub(r.fullReadAt) >= FullReadInterval {
		return []Query{{}}
	}
	queries := make([]Query, 0, len(zones))
	for _, zone := range zones {
		query := Query{AvailabilityZone: zone}
		if list := r.zoneLists[zone]; list != nil {
			query.ETag = list.etag
		}
		queries = append(queries, query)
	}
	return queries
}

// Merge applies the replies to the queries, in the same order, and returns the
// list to put in use and the number of instances in it that the platform does
// not list. Of a reply to a query for an availability zone, only the instances
// of that zone are used.
func (r *Reader) Merge(now time.Time, inUse List, queries []Query, replies []Reply) (list List, keptCount int) {
	unchanged := r.keptCount == 0 && r.mergedHash == inUse.Hash
	for i, query := range queries {
		if replies[i].NotModified {
			continue
		}
		unchanged = false
		r.applyReply(now, inUse, query, replies[i])
	}
	if unchanged {
		return inUse, 0
	}
	r.keptCount = 0
	var instances []Instance
	for _, zone := range slices.Sorted(maps.Keys(r.zoneLists)) {
		kept := r.zoneLists[zone].keptInstances(now, inUse.Instances, zone)
		r.keptCount += len(kept)
		instances = append(append(instances, r.zoneLists[zone].instances...), kept...)
	}
	list = NewList(instances)
	r.mergedHash = list.Hash
	return list, r.keptCount
}

// zones returns the availability zones of the list in use and of the zone
// lists.
func (r *Reader) zones(inUse List) []string {
	zones := map[string]bool{}
	for i := range inUse.Instances {
		zones[inUse.Instances[i].AvailabilityZone] = true
	}
	for zone := range r.zoneLists {
		zones[zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// applyReply updates the zone lists from one reply.
func (r *Reader) applyReply(now time.Time, inUse List, query Query, reply Reply) {
	byZone := map[string][]Instance{}
	for i := range reply.Instances {
		zone := reply.Instances[i].AvailabilityZone
		byZone[zone] = append(byZone[zone], reply.Instances[i])
	}
	if query.AvailabilityZone != "" {
		r.zoneList(query.AvailabilityZone).replace(reply.ETag, byZone[query.AvailabilityZone])
		return
	}
	r.fullReadAt = now
	for _, zone := range r.zones(inUse) {
		if _, listed := byZone[zone]; !listed {
			byZone[zone] = nil
		}
	}
	for zone, instances := range byZone {
		// An unchanged part keeps its ETag, so that it is not transferred
		// again.
		if list := r.zoneList(zone); !slices.Equal(list.instances, instances) {
			list.replace("", instances)
		}
	}
}

// zoneList returns the zone list of an availability zone and creates it on
// first use.
func (r *Reader) zoneList(zone string) *zoneList {
	if r.zoneLists[zone] == nil {
		r.zoneLists[zone] = &zoneList{losses: map[string]loss{}}
	}
	return r.zoneLists[zone]
}

func (z *zoneList) replace(etag string, instances []Instance) {
	z.etag, z.instances = etag, instances
}

// keptInstances returns the instances in use that the zone list does not
// contain and that are not to be removed yet.
func (z *zoneList) keptInstances(now time.Time, inUse []Instance, zone string) []Instance {
	missing := z.missing(inUse, zone)
	z.recordLosses(now, missing)
	liveCounts := z.liveCounts()
	var plausible [roleCount]bool
	for role := range roleCount {
		plausible[role] = z.lossesPlausible(role, liveCounts[role])
	}
	return slices.DeleteFunc(missing, func(instance Instance) bool {
		confirmed := now.Sub(z.losses[instance.Name].missingSince) >= LossConfirmationTime
		return plausible[instance.Role] || (confirmed && liveCounts[instance.Role] > 0)
	})
}

// missing returns the live instances in use that the zone list does not
// contain.
func (z *zoneList) missing(inUse []Instance, zone string) []Instance {
	listed := make(map[string]bool, len(z.instances))
	for i := range z.instances {
		listed[z.instances[i].Name] = true
	}
	for name := range z.losses {
		if listed[name] {
			delete(z.losses, name)
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

// recordLosses records the missing instances, and forgets losses that are older
// than LossConfirmationTime and no longer in use.
func (z *zoneList) recordLosses(now time.Time, missing []Instance) {
	inUse := make(map[string]bool, len(missing))
	for _, instance := range missing {
		inUse[instance.Name] = true
		if _, known := z.losses[instance.Name]; !known {
			z.losses[instance.Name] = loss{instance: instance, missingSince: now}
		}
	}
	for name, lost := range z.losses {
		if !inUse[name] && now.Sub(lost.missingSince) >= LossConfirmationTime {
			delete(z.losses, name)
		}
	}
}

// lossesPlausible reports whether the missing instances of a role are removed
// at once, by the conditions that Reader describes. live is the number of live
// instances of the role in the zone list.
func (z *zoneList) lossesPlausible(role Role, live int) bool {
	lost, racks := 0, map[string]bool{}
	for _, missing := range z.losses {
		if missing.instance.Role == role {
			lost++
			racks[missing.instance.Rack] = true
		}
	}
	return live > 0 && (lost <= 1 || z.lostWholeRack(role, racks) || 100*lost <= MaxLossPercent*(lost+live))
}

// lostWholeRack reports whether all losses were in one rack, of which the zone
// list contains no live instance of the role any more.
func (z *zoneList) lostWholeRack(role Role, racks map[string]bool) bool {
	if len(racks) != 1 || racks[""] {
		return false
	}
	return !slices.ContainsFunc(z.instances, func(instance Instance) bool {
		return racks[instance.Rack] && instance.Role == role && instance.State == StateLive
	})
}

// liveCounts returns the number of live instances in the zone list by role.
func (z *zoneList) liveCounts() [roleCount]int {
	var live [roleCount]int
	for i := range z.instances {
		if z.instances[i].State == StateLive {
			live[z.instances[i].Role]++
		}
	}
	return live
}
