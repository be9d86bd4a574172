// Package rattansettings holds the settings of one process: the addresses and
// the availability zone that it learns at start, and the timings of its role.
package rattansettings

import "github.com/rattanlever/rattanlever/rattanjson"

// Settings are the settings of an entry instance, a JSON object.
type Settings struct {
	// Name is unique in the system, 1 to 64 characters.
	Name             string
	AvailabilityZone string
	// CallerAddress is the IP address and port for callers and operators.
	CallerAddress string
	// PeerAddress is the IP address and port for other entry instances.
	PeerAddress string
	// PlatformAddress is the IP address and port of the platform's service.
	PlatformAddress string
	// Peers are instances to contact first; others are learned from them and
	// from the instance list.
	Peers []Peer
	// Document is the path of a configuration document that is used until the
	// platform or a peer has one; empty for none.
	Document string
	LogLevel string
	Keys     Keys
	Home     Home
}

// Peer is another entry instance.
type Peer struct {
	Name             string
	AvailabilityZone string
	PeerAddress      string
}

// Keys are the paths of PEM files; all are empty for operation without TLS.
type Keys struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the certificates that sign all peers' certificates.
	AuthorityFile string
}

// Home has the timings and bounds of the home role.
type Home struct {
	HeartbeatInterval rattanjson.Duration
	TenureDuration    rattanjson.Duration
	VerdictMargin     rattanjson.Duration
	KeyLifetime       rattanjson.Duration
	Retention         rattanjson.Duration
	AnswerRetention   rattanjson.Duration
	MaxRecords        int
	MaxAnswerBytes    int64
	// PoolSlots is the most slots of a pool. It is the same at all instances of
	// an availability zone.
	PoolSlots int
	// DrainTimeout is the longest time that a graceful shutdown waits.
	DrainTimeout rattanjson.Duration
}
