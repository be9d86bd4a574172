package rattanplatform

import (
	"time"

	"github.com/rattanlever/rattanlever/rattanjson"
)

// Special revisions for the condition of a write.
const (
	// AnyRevision makes a write unconditional.
	AnyRevision int64 = -1
	// NoRevision makes a write succeed only if the key does not exist.
	NoRevision int64 = 0
)

// NoLease is the lease ID of a key that is bound to no lease.
const NoLease int64 = 0

// MaxValueSize is the maximum size of a value in bytes that the platform
// stores.
const MaxValueSize = 1 << 20

// MaxWatchWait is the maximum wait of one Watch call.
const MaxWatchWait = 60 * time.Second

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte `json:",omitempty"`
	// Revision is the revision of the store at the last write of the key.
	Revision int64
	// Lease is the ID of the lease that the key is bound to, or NoLease.
	Lease int64 `json:",omitempty"`
	// Deleted is set only in entries of Changes.
	Deleted bool `json:",omitempty"`
}

// Changes holds the latest change of each changed key with a prefix, in
// ascending order of revision.
type Changes struct {
	// Revision is the revision of the store up to which the changes are complete;
	// the next watch continues after it.
	Revision int64
	Entries  []Entry `json:",omitempty"`
}

// WriteResult is the platform's response to a write. In a response with status
// 409, Revision is the key's current revision.
type WriteResult struct {
	Revision int64
}

// Lease is a lease to which keys can be bound. When it expires, the platform
// deletes the keys that are bound to it.
type Lease struct {
	// ID is greater than 0 in responses and omitted in requests.
	ID int64 `json:",omitempty"`
	// Duration is the time from the creation or the last renewal to the expiry.
	Duration rattanjson.Duration
}
