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

// InstanceChange is a change of the instance list; its parts are applied in the
// order of the fields.
type InstanceChange struct {
	// Set adds instances, or replaces those of the same name.
	Set []rattanplatform.Instance `json:",omitempty"`
	// Leave sets instances to Leaving, by name.
	Leave []string `json:",omitempty"`
	// Remove removes instances, by name.
	Remove []string `json:",omitempty"`
}

// instanceList is the list of instances with its recent versions, oldest first.
type instanceList struct {
	mu       sync.Mutex
	versions []instanceVersion
}

type instanceVersion struct {
	at time.Time
	// instances are sorted by name.
	instances []rattanplatform.Instance
	// parts caches the encoded parts by availability zone; "" stands for all.
	parts map[string]instancePart
}

// instancePart is the encoded answer to a read of the list.
type instancePart struct {
	// compressed is the body in gzip.
	body, compressed []byte
	// etag is weak, because both forms of the body have the same one.
	etag string
}

// change adds a version.
func (l *instanceList) change(now time.Time, change InstanceChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byName := map[string]rattanplatform.Instance{}
	for _, instance := range l.newest() {
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
	version := instanceVersion{at: now, instances: make([]rattanplatform.Instance, 0, len(byName)), parts: map[string]instancePart{}}
	for _, instance := range byName {
		version.instances = append(version.instances, instance)
	}
	slices.SortFunc(version.instances, func(a, b rattanplatform.Instance) int {
		return strings.Compare(a.Name, b.Name)
	})
	l.versions = append(l.versions, version)
	l.prune(now)
}

// newest returns the instances of the newest version.
func (l *instanceList) newest() []rattanplatform.Instance {
	if len(l.versions) == 0 {
		return nil
	}
	return l.versions[len(l.versions)-1].instances
}

// at returns the part of an availability zone, or the whole list for "", as it
// was one lag ago.
func (l *instanceList) at(now time.Time, lag time.Duration, zone string) instancePart {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := now.Add(-lag)
	for i := len(l.versions) - 1; i >= 0; i-- {
		if !l.versions[i].at.After(seen) {
			return l.versions[i].part(zone)
		}
	}
	return encodePart(nil, zone)
}

// part returns the encoded part of an availability zone.
func (v *instanceVersion) part(zone string) instancePart {
	if _, ok := v.parts[zone]; !ok {
		v.parts[zone] = encodePart(v.instances, zone)
	}
	return v.parts[zone]
}

func encodePart(instances []rattanplatform.Instance, zone string) instancePart {
	listed := []rattanplatform.Instance{}
	for _, instance := range instances {
		if zone == "" || instance.AvailabilityZone == zone {
			listed = append(listed, instance)
		}
	}
	// Instances hold only text and numbers, which always encode.
	body, _ := json.Marshal(listed)
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write(body)
	_ = writer.Close()
	return instancePart{body: body, compressed: compressed.Bytes(), etag: fmt.Sprintf("W/\"%016x\"", xxhash.Sum64(body))}
}

// without returns the part without a share of its instances, the first ones.
func (p instancePart) without(share float64) instancePart {
	var instances []rattanplatform.Instance
	_ = json.Unmarshal(p.body, &instances)
	return encodePart(instances[int(min(share, 1)*float64(len(instances))):], "")
}

// maxInstanceLag bounds the versions that are kept.
const maxInstanceLag = 10 * time.Minute

// prune drops versions that no reader within maxInstanceLag sees.
func (l *instanceList) prune(now time.Time) {
	oldest := now.Add(-maxInstanceLag)
	for len(l.versions) > 1 && l.versions[1].at.Before(oldest) {
		l.versions = l.versions[1:]
	}
}
