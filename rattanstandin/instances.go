package rattanstandin

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanlever/rattanlever/rattanplatform"
)

// InstanceChange is a change of the instance list. Its parts are applied in the
// order of the fields.
type InstanceChange struct {
	// Set adds instances, or replaces those with the same name.
	Set []rattanplatform.Instance `json:",omitempty"`
	// Leave sets the state of the named instances to Leaving.
	Leave []string `json:",omitempty"`
	// Remove removes the named instances.
	Remove []string `json:",omitempty"`
}

// instanceList holds the recent versions of the instance list, oldest first, so
// that reads can return an outdated version.
type instanceList struct {
	mu       sync.Mutex
	versions []instanceVersion
}

type instanceVersion struct {
	changedAt time.Time
	// instances is sorted by name.
	instances []rattanplatform.Instance
	// encodedByZone caches the encoded instances of each availability zone; the
	// key "" holds those of all zones.
	encodedByZone map[string]encodedInstances
}

// encodedInstances is the encoded response to a read of the list.
type encodedInstances struct {
	// compressed is the body compressed with gzip.
	body, compressed []byte
	// etag is a weak validator because body and compressed share it.
	etag string
}

// apply adds a version of the list with the change applied.
func (l *instanceList) apply(now time.Time, change InstanceChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byName := map[string]rattanplatform.Instance{}
	for _, instance := range l.latest() {
		byName[instance.Name] = instance
	}
	for _, instance := range change.Set {
		byName[instance.Name] = instance
	}
	for _, name := range change.Leave {
		if instance, ok := byName[name]; ok {
			instance.State = rattanplatform.StateLeaving
			byName[name] = instance
		}
	}
	for _, name := range change.Remove {
		delete(byName, name)
	}
	version := instanceVersion{changedAt: now, instances: make([]rattanplatform.Instance, 0, len(byName)), encodedByZone: map[string]encodedInstances{}}
	for _, instance := range byName {
		version.instances = append(version.instances, instance)
	}
	slices.SortFunc(version.instances, func(a, b rattanplatform.Instance) int {
		return strings.Compare(a.Name, b.Name)
	})
	l.versions = append(l.versions, version)
	l.prune(now)
}

// latest returns the instances of the newest version.
func (l *instanceList) latest() []rattanplatform.Instance {
	if len(l.versions) == 0 {
		return nil
	}
	return l.versions[len(l.versions)-1].instances
}

// encodedAt returns the instances of an availability zone, or all instances if
// zone is "", as they were at the time now minus lag.
func (l *instanceList) encodedAt(now time.Time, lag time.Duration, zone string) encodedInstances {
	l.mu.Lock()
	defer l.mu.Unlock()
	visibleTime := now.Add(-lag)
	for i := len(l.versions) - 1; i >= 0; i-- {
		if !l.versions[i].changedAt.After(visibleTime) {
			return l.versions[i].encoded(zone)
		}
	}
	return encodeInstances(nil, zone)
}

// encoded returns the encoded instances of an availability zone, or of all zones
// if zone is "".
func (v *instanceVersion) encoded(zone string) encodedInstances {
	if _, ok := v.encodedByZone[zone]; !ok {
		v.encodedByZone[zone] = encodeInstances(v.instances, zone)
	}
	return v.encodedByZone[zone]
}

func encodeInstances(instances []rattanplatform.Instance, zone string) encodedInstances {
	selected := []rattanplatform.Instance{}
	for _, instance := range instances {
		if zone == "" || instance.AvailabilityZone == zone {
			selected = append(selected, instance)
		}
	}
	// Encoding cannot fail: instances hold only text and numbers.
	body, _ := json.Marshal(selected)
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write(body)
	_ = writer.Close()
	return encodedInstances{body: body, compressed: compressed.Bytes(), etag: fmt.Sprintf("W/\"%016x\"", xxhash.Sum64(body))}
}

// withoutFraction returns the list without the given fraction of its instances. It
// omits instances from the start of the list.
func (e encodedInstances) withoutFraction(fraction float64) encodedInstances {
	var instances []rattanplatform.Instance
	_ = json.Unmarshal(e.body, &instances)
	return encodeInstances(instances[int(min(fraction, 1)*float64(len(instances))):], "")
}

// maxInstanceListLag is the longest lag for which versions are kept.
const maxInstanceListLag = 10 * time.Minute

// prune removes the versions that are too old for any lag of up to
// maxInstanceListLag.
func (l *instanceList) prune(now time.Time) {
	oldestVisible := now.Add(-maxInstanceListLag)
	for len(l.versions) > 1 && l.versions[1].changedAt.Before(oldestVisible) {
		l.versions = l.versions[1:]
	}
}
