package rattanentry

import (
	"sync"
	"time"

	"github.com/rattanlever/rattanlever/rattanspread"
)

// puller pulls changes that peers have offered, as rattanspread decides. It is
// safe for concurrent use.
type puller[Offer any] struct {
	// pull gets the offered change.
	pull func(offer Offer)
	// consider is called with an offer that had to wait.
	consider func(offer Offer)

	mutex sync.Mutex
	pulls rattanspread.PullQueue[Offer]
}

// offer takes in an offer of a change that this instance does not have.
func (p *puller[Offer]) offer(offer Offer) {
	p.mutex.Lock()
	number, begin := p.pulls.Offer(time.Now(), offer)
	p.mutex.Unlock()
	if begin {
		go p.run(number, offer)
	}
}

func (p *puller[Offer]) run(number int, offer Offer) {
	late := time.AfterFunc(rattanspread.PullTimeout, func() { p.release(number, false) })
	p.pull(offer)
	late.Stop()
	p.release(number, true)
}

func (p *puller[Offer]) release(number int, ended bool) {
	p.mutex.Lock()
	next, found := p.pulls.Release(time.Now(), number, ended)
	p.mutex.Unlock()
	if found {
		p.consider(next)
	}
}
