package rattanplatform

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// Revisions with a meaning of their own as the condition of a write.
const (
	// AnyRevision makes a write unconditional.
	AnyRevision int64 = -1
	// NoRevision makes a write succeed only if the key does not exist.
	NoRevision int64 = 0
)

// NoLease is the lease ID of a key that is bound to no lease.
const NoLease int64 = 0

// MaxValueSize is the largest value in bytes that the platform stores.
const MaxValueSize = 1 << 20

// MaxWatchWait is the longest time that one watch call may wait.
const MaxWatchWait = 60 * time.Second

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte `json:",omitempty"`
	// Revision is the store's revision at the last write of the key.
	Revision int64
	// Lease is the lease that the key is bound to, or NoLease.
	Lease int64 `json:",omitempty"`
	// Deleted is set only in changes.
	Deleted bool `json:",omitempty"`
}

// Changes are the last changes of the keys of a prefix, one entry a key, by
// ascending revision.
type Changes struct {
	// Revision is the store's revision that the changes reach up to; the next
	// watch continues after it.
	Revision int64
	Entries  []Entry `json:",omitempty"`
}

// WriteResult is the platform's answer to a write. In an answer of status 409 it
// holds the revision that the key has.
type WriteResult struct {
	Revision int64
}

// Lease is a lease on keys. The platform deletes the keys that are bound to a
// lease when it expires.
type Lease struct {
	// ID is greater than 0 in answers and left out in requests.
	ID int64 `json:",omitempty"`
	// Duration is the time from the grant or the last renewal to the expiry.
	Duration rattanjson.Duration
}
