package rattansite

import (
	"cmp"
	"encoding/json"

	"github.com/juju/errors"
)

// Ports of an instance that is configured by InstanceSettings.
const (
	CallerPort    = "7161"
	PeerPort      = "7166"
	ReadinessPort = "7167"
)

// InstanceSettings describes an instance for its settings file.
type InstanceSettings struct {
	Name string
	// IP is the address on which the instance listens, on its own ports.
	IP   string
	Zone string
	// SeedIPs are the addresses of other instances.
	SeedIPs      []string
	StoreAddress string
	// CPUShare is the processor share of the machine in cores, 0 if unknown.
	CPUShare float64
	// MemoryMB is the memory of the machine in megabytes, 0 if unknown.
	MemoryMB int
	// EvacuateMillis is the time in milliseconds from a request to evacuate a zone
	// after which nothing may start there, 0 if evacuations are not used.
	EvacuateMillis int
	// MaxDescriptors is the number of descriptors that the process may have open, 0
	// if unknown.
	MaxDescriptors int
}

// File returns the content of the settings file.
func (s InstanceSettings) File() ([]byte, error) {
	seeds := make([]string, len(s.SeedIPs))
	for i, ip := range s.SeedIPs {
		seeds[i] = ip + ":" + PeerPort
	}
	bounds := map[string]any{"max_hold_ms": 1000, "grace_s": 6, "retransmit_ms": 1300, "remote_penalty": 1.5}
	if s.EvacuateMillis != 0 {
		bounds["evacuate_ms"] = s.EvacuateMillis
	}
	data, err := json.Marshal(map[string]any{
		"node_name": s.Name, "ip": s.IP, "zone": s.Zone, "region": "region", "control_mode": "call",
		"listen": map[string]string{
			"front": s.IP + ":" + CallerPort, "readiness": s.IP + ":" + ReadinessPort, "control": s.IP + ":" + PeerPort,
		},
		"limits":     map[string]any{"cpu_share": s.CPUShare, "cores": 1, "memory_mb": s.MemoryMB, "max_fds": s.MaxDescriptors},
		"port_range": []int{7720, 7735}, "seeds": seeds,
		"platform": map[string]any{"address": s.StoreAddress, "form": "kv"},
		"bounds":   bounds,
	})
	return data, errors.Trace(err)
}

// DesiredState is a desired state in which one service has a route for each
// prefix.
type DesiredState struct {
	Version  int
	Service  string
	Host     string
	Prefixes []string
	// MaxBodyBytes limits the body of a request, 0 for defaultMaxBodyBytes.
	MaxBodyBytes int
}

// defaultMaxBodyBytes is the limit for a body in tests that state none.
const defaultMaxBodyBytes = 20000

// PutDesiredState writes a desired state to the store.
func (s *Store) PutDesiredState(state DesiredState) error {
	routes := make([]any, len(state.Prefixes))
	for i, prefix := range state.Prefixes {
		routes[i] = map[string]any{
			"name": "r" + prefix, "host": state.Host, "prefix": prefix, "kind": "unsafe", "timeout_ms": 1500,
			"target_latency_ms": 60, "priority": 0, "service": state.Service, "max_attempts": 3, "slack_factor": 1.6,
		}
	}
	return s.Put("op/config", map[string]any{
		"version": state.Version, "routes": routes,
		"services": []any{map[string]any{"name": state.Service, "rejects_overload": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": cmp.Or(state.MaxBodyBytes, defaultMaxBodyBytes), "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
