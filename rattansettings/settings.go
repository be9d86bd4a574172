// Package rattansettings defines, loads and checks the settings of an entry
// instance: its addresses, its availability zone, and the timings and limits of
// its role as a home.
package rattansettings

import "github.com/rattanlever/rattanlever/rattanjson"

// Settings are the settings of an entry instance, encoded as a JSON object.
type Settings struct {
	// Name is unique in the system, 1 to 64 characters.
	Name             string
	AvailabilityZone string
	// CallerAddress is the IP address and port for callers and operators.
	CallerAddress string
	// PeerAddress is the IP address and port for other entry instances.
	PeerAddress string
	// PlatformAddress is the IP address and port of the platform.
	PlatformAddress string
	// Peers are the instances to contact first. Others become known through them
	// and through the instance list.
	Peers []Peer
	// Document is the path of a configuration document that is used until one is
	// available from the platform or a peer. It may be empty.
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
	// AuthorityFile holds the certificates that sign the certificates of all
	// peers, callers and operators.
	AuthorityFile string
}

// Home holds the timings and limits of an instance in the home role. The
// field descriptions are in definitions.
type Home struct {
	HeartbeatInterval rattanjson.Duration
	TenureDuration    rattanjson.Duration
	VerdictMargin     rattanjson.Duration
	KeyLifetime       rattanjson.Duration
	Retention         rattanjson.Duration
	AnswerRetention   rattanjson.Duration
	MaxRecords        int
	MaxAnswerBytes    int64
	// PoolSlots is the maximum number of slots of a pool. It has to be the same
	// at all instances of an availability zone.
	PoolSlots int
	// DrainTimeout is the maximum time that a graceful shutdown waits for running
	// jobs.
	DrainTimeout rattanjson.Duration
}
