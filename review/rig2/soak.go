package main

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rattanlever/rattanlever/rattansite"
)

// scenarios returns all cases by name.
func scenarios(length time.Duration) map[string]scenario {
	return map[string]scenario{
		"soak":              {zones: 2, machines: 3, workers: 6, cpu: 16000, play: func(w *world, trouble bool) error { return w.soak(length, trouble) }},
		"cancel-all-killed": {zones: 2, machines: 3, workers: 4, cpu: 16000, play: (*world).cancelThenKillAll},
		"cancel-roll":       {zones: 2, machines: 3, workers: 4, cpu: 16000, play: (*world).cancelThenRoll},
		"odd-jobs":          {zones: 2, machines: 3, workers: 6, cpu: 16000, play: func(w *world, _ bool) error { return w.oddJobs(length) }},
		"term-load":         {zones: 1, machines: 3, workers: 6, cpu: 16000, play: (*world).terminateUnderLoad},
		"late-start":        {zones: 1, machines: 3, workers: 4, cpu: 16000, play: (*world).lateStartHomeKilled},
		"late-start-zone":   {zones: 2, machines: 3, workers: 4, cpu: 16000, play: (*world).lateStartZoneLost},
		"cancel-zone-lost":  {zones: 2, machines: 3, workers: 4, cpu: 16000, play: (*world).cancelThenZoneLost},
		"cancel-zone-gone":  {zones: 2, machines: 3, workers: 4, cpu: 16000, play: (*world).cancelWithoutZone},
	}
}

// soak plays random jobs beside random disturbances. RIG2_TROUBLES selects them.
func (w *world) soak(length time.Duration, trouble bool) error {
	stop := make(chan struct{})
	done := make(chan struct{})
	share := 0.0
	if strings.Contains(os.Getenv("RIG2_TROUBLES"), "cancel") {
		share = 0.2
	}
	w.anyNode = os.Getenv("RIG2_RESETS") != ""
	w.resets, _ = strconv.ParseFloat(os.Getenv("RIG2_RESETS"), 64)
	rate := 12
	if n, err := strconv.Atoi(os.Getenv("RIG2_RATE")); err == nil {
		rate = n
	}
	go func() {
		defer close(done)
		w.traffic(rate, share, stop)
	}()
	end := time.Now().Add(length)
	troubles := strings.Split(os.Getenv("RIG2_TROUBLES"), ",")
	for time.Now().Before(end) {
		time.Sleep(time.Second + rand.N(2*time.Second))
		if trouble {
			w.trouble(troubles[rand.IntN(len(troubles))])
		}
	}
	close(stop)
	<-done
	return nil
}

func (w *world) trouble(kind string) {
	zones := w.zones()
	zone := zones[rand.IntN(len(zones))]
	i := w.home(zone)
	if i == nil || rand.IntN(3) == 0 {
		i = w.instances[rand.IntN(len(w.instances))]
	}
	k := w.workers[rand.IntN(len(w.workers))]
	later := func(after time.Duration, f func()) {
		time.AfterFunc(after, func() {
			f()
			w.disturb("end of %s", kind)
		})
	}
	switch kind {
	case "kill":
		w.disturb("kill %s", i.name)
		if i.running() {
			i.kill()
		}
		later(500*time.Millisecond+rand.N(2*time.Second), func() {
			if !i.running() {
				_ = i.start()
			}
		})
	case "freeze":
		w.disturb("freeze %s", i.name)
		i.signal(syscall.SIGSTOP)
		later(500*time.Millisecond+rand.N(3*time.Second), func() { i.signal(syscall.SIGCONT) })
	case "term":
		w.disturb("term %s", i.name)
		i.signal(syscall.SIGTERM)
		go func() {
			select {
			case <-i.ended:
			case <-time.After(gracePeriod):
				w.disturb("grace over %s", i.name)
				i.kill()
			}
			time.Sleep(300 * time.Millisecond)
			_ = i.start()
		}()
	case "herd":
		w.disturb("kill all")
		for _, i := range w.instances {
			i.signal(syscall.SIGKILL)
		}
		later(time.Second, func() {
			for _, i := range w.instances {
				if !i.running() {
					_ = i.start()
				}
			}
		})
		time.Sleep(3 * time.Second)
	case "crash":
		w.disturb("crash %s", k.id)
		go k.crash(200*time.Millisecond + rand.N(2*time.Second))
	case "half":
		w.disturb("half %s", i.name)
		w.mutex.Lock()
		for _, k := range w.workers {
			if rand.IntN(2) == 0 {
				k.faults.from = i.number()
			}
		}
		w.mutex.Unlock()
		later(2*time.Second+rand.N(3500*time.Millisecond), func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			for _, k := range w.workers {
				k.faults.from = 0
			}
		})
	case "core":
		w.disturb("core %s", i.name)
		w.store.SetOutageAt(i.storeAddress, rattansite.OutageSilent)
		later(2*time.Second+rand.N(3500*time.Millisecond), func() { w.store.SetOutageAt(i.storeAddress, rattansite.OutageNone) })
	case "cut", "slow", "grey", "lost", "late":
		w.disturb("%s %s", kind, k.id)
		f := map[string]faults{"cut": {cut: true}, "slow": {factor: 6}, "grey": {fail: true}, "lost": {lost: 0.1}, "late": {late: 0.1}}[kind]
		w.mutex.Lock()
		affected := []*worker{k}
		if kind == "late" || kind == "lost" {
			affected = slices.Clone(w.workers)
		}
		for _, k := range affected {
			k.faults = f
		}
		w.mutex.Unlock()
		later(2*time.Second+rand.N(3*time.Second), func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			for _, k := range affected {
				k.faults = faults{}
			}
		})
	}
}
