package rattanhome

import "sync"

// fakeDesiredState is a DesiredState whose documents are versions as text.
type fakeDesiredState struct {
	mutex   sync.Mutex
	version int64
}

func (d *fakeDesiredState) Version() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.version
}
