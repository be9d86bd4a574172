package rattanzone

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanscheduler"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// TestUnfitZonesAreExcluded guards against redirects to a zone that is silent, overloaded
// or evacuated, and to one of the former version in which tasks wait for room.
func TestUnfitZonesAreExcluded(t *testing.T) {
	rooms := []rattanscheduler.ServiceRoom{{Service: "s", MilliCPU: 1000}}
	tests := map[string]struct {
		load rattanhome.Load
		age  time.Duration
		want bool
	}{
		"room":                       {load: rattanhome.Load{Rooms: rooms}, want: true},
		"tasks wait":                 {load: rattanhome.Load{Rooms: rooms, WaitingTasks: 1}, want: true},
		"silent":                     {load: rattanhome.Load{Rooms: rooms}, age: maxLoadAge},
		"overloaded":                 {load: rattanhome.Load{Rooms: rooms, Overloaded: true}},
		"evacuated":                  {load: rattanhome.Load{Rooms: rooms, Evacuated: true}},
		"former version":             {load: rattanhome.Load{FreeMilliCPU: 1000}, want: true},
		"former version, tasks wait": {load: rattanhome.Load{FreeMilliCPU: 1000, WaitingTasks: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1_800_000_000, 0)
			a := &Agent{config: Config{Self: rattanwork.Member{Zone: "a"}}, homes: map[string]*homeRecord{
				"a": {claim: Claim{Zone: "a", Load: rattanhome.Load{Rooms: rooms}}, lastHeard: now},
				"b": {claim: Claim{Zone: "b", Load: test.load}, lastHeard: now.Add(-test.age)},
			}}
			zones := a.remoteCapacity(now)
			c.Assert(len(zones) == 1, qt.Equals, test.want)
			if test.want {
				c.Check(zones[0].Zone, qt.Equals, "b")
				c.Check(zones[0].ReportedAt, qt.Equals, now)
				c.Check(zones[0].Rooms, qt.HasLen, len(test.load.Rooms))
			}
		})
	}
}

// TestLoadOfOtherVersions guards against a claim that instances of the former version
// cannot read, and against taking a missing field for no room.
func TestLoadOfOtherVersions(t *testing.T) {
	c := qt.New(t)
	var former rattanhome.Load
	c.Assert(json.Unmarshal([]byte(`{"FreeMilliCPU":5,"WaitingTasks":0,"Jobs":1,"Lag":0,"Overloaded":false}`), &former), qt.IsNil)
	c.Check(former.Rooms, qt.IsNil)
	c.Check(former.Evacuated, qt.IsFalse)
	data, err := json.Marshal(rattanhome.Load{Rooms: []rattanscheduler.ServiceRoom{{Service: "s", Fits: rattanscheduler.FitCounts{40, 3}}}})
	c.Assert(err, qt.IsNil)
	c.Check(string(data), qt.Equals, `{"FreeMilliCPU":0,"WaitingTasks":0,"Jobs":0,"Rooms":["K3 0  s"],"Lag":0,"Overloaded":false}`)
}
