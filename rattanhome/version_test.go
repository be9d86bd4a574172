package rattanhome

import "sync"

// fakeDesiredState is a DesiredState without documents.
type fakeDesiredState struct {
	mutex   sync.Mutex
	version int64
}

func (d *fakeDesiredState) Version() int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.version
}

func (d *fakeDesiredState) Document() []byte { return nil }

func (d *fakeDesiredState) Accept([]byte, string) error { return nil }
