package rattanstandin

import (
	"slices"
	"strings"
	"sync"
	"time"

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
	version := instanceVersion{at: now, instances: make([]rattanplatform.Instance, 0, len(byName))}
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

// at returns the list as it was one lag ago.
func (l *instanceList) at(now time.Time, lag time.Duration) []rattanplatform.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := now.Add(-lag)
	for i := len(l.versions) - 1; i >= 0; i-- {
		if !l.versions[i].at.After(seen) {
			return l.versions[i].instances
		}
	}
	return []rattanplatform.Instance{}
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
