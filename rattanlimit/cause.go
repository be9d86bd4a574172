package rattanlimit

//go:generate go tool stringer -type=Cause -output=cause_string.go

// Cause states why a request was refused or a connection was closed.
type Cause int

// Causes. The requests concerned have started nothing, except PeerJobWithoutRoom.
const (
	// BodyRefused means that the budget had no room for a body.
	BodyRefused Cause = iota
	// JobRefused means that the budget had no room for a decoded job.
	JobRefused
	// PeerJobWithoutRoom means that the budget had no room for a job of another
	// instance, which the home refuses unless it may have started.
	PeerJobWithoutRoom
	// BodyStalled means that a body did not advance in time.
	BodyStalled
	// BodyTooLong means that a body was not complete in time.
	BodyTooLong
	// BodyEvicted means that a body that did not advance made room for others.
	BodyEvicted
	// HeaderRefused means that the budget had no room for a large header.
	HeaderRefused
	// ConnectionEvicted means that a connection that made no progress made room for a
	// new one.
	ConnectionEvicted
	// ConnectionRefused means that there were too many connections, all of which made
	// progress.
	ConnectionRefused
)

// Causes is the number of causes.
const Causes = int(ConnectionRefused) + 1

// Journal records what was refused or closed. Its method must not block.
type Journal interface {
	CallerLimited(cause Cause)
}

// noJournal records nothing.
type noJournal struct{}

func (noJournal) CallerLimited(Cause) {}
