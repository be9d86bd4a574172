package rattancmd_test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rattanlever/rattanlever/rattanred"
	"github.com/rattanlever/rattanlever/rattansite"
)

// maxPropagationDelay is the time from a change of the desired state until it is in
// force on all instances.
const maxPropagationDelay = 2 * time.Second

// TestServeDesiredStateWhereStoreTurnsInstancesAway lets the store answer one instance only, not a home.
func TestServeDesiredStateWhereStoreTurnsInstancesAway(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		outage   rattansite.Outage
		homeLost bool
	}{
		"refused":            {outage: rattansite.OutageRefusing},
		"silent":             {outage: rattansite.OutageSilent},
		"refused, home lost": {outage: rattansite.OutageRefusing, homeLost: true},
		"silent, home lost":  {outage: rattansite.OutageSilent, homeLost: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			deployment := startDeployment(t, []string{"a", "b"}, 3, 1)
			reached := deployment.followers("b", deployment.homeOf("b"))[0]
			for _, instance := range deployment.instances {
				if instance != reached {
					deployment.store.SetOutageAt(instance.storeAddress, test.outage)
				}
			}
			time.Sleep(time.Second)
			if test.homeLost {
				home := deployment.homeOf("a")
				deployment.kill(home, syscall.SIGKILL)
				deployment.removeInstance(home)
			}
			deployment.putDesired("/second/")
			time.Sleep(maxPropagationDelay)
			deployment.checkGet("/second/", http.StatusOK, "pending")
		})
	}
}

// removeInstance forgets an instance that has ended.
func (d *deployment) removeInstance(ended *serveInstance) {
	var remaining []*serveInstance
	for _, instance := range d.instances {
		if instance != ended {
			remaining = append(remaining, instance)
		}
	}
	d.instances = remaining
}

// TestServeChangesBesidePausedInstances guards against a route that is not served after a pause around its change.
func TestServeChangesBesidePausedInstances(t *testing.T) {
	t.Parallel()
	const pause = 600 * time.Millisecond
	deployment := startDeployment(t, []string{"a"}, 3, 4)
	load := deployment.startLoad(4)
	load.waitForSuccess(time.Now())
	for i, instance := range deployment.instances {
		instance.pause(pause)
		time.Sleep(pause / 2)
		prefix := fmt.Sprintf("/added-%d/", i)
		deployment.putDesired(prefix)
		time.Sleep(maxPropagationDelay)
		deployment.checkGet(prefix, http.StatusOK, "pending")
	}
	load.finish()
	deployment.Check(load.unexpected.Load(), qt.Equals, int64(0))
}

// TestServePausedInstanceAnswersByCurrentState guards against a 404 for an added route just after a pause.
func TestServePausedInstanceAnswersByCurrentState(t *testing.T) {
	t.Parallel()
	rattanred.SkipKnownFailure(t)
	deployment := startDeployment(t, []string{"a"}, 2, 1)
	home := deployment.homeOf("a")
	for _, instance := range []*serveInstance{deployment.followers("a", home)[0], home} {
		for round := range 5 {
			prefix := fmt.Sprintf("/added-%s-%d/", instance.name, round)
			deployment.Assert(instance.command.Process.Signal(syscall.SIGSTOP), qt.IsNil)
			deployment.putDesired(prefix)
			time.Sleep(maxPropagationDelay)
			statuses := make(chan int, 1)
			go func() { statuses <- deployment.get(instance, prefix) }()
			time.Sleep(100 * time.Millisecond)
			deployment.Assert(instance.command.Process.Signal(syscall.SIGCONT), qt.IsNil)
			deployment.Check(<-statuses, qt.Equals, http.StatusOK, qt.Commentf("%s", prefix))
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// get returns the status of the answer of one instance, 0 if there was none.
func (d *deployment) get(instance *serveInstance, path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+instance.ip+":"+rattansite.CallerPort+path, nil)
	if err != nil {
		return 0
	}
	request.Host = queueHost
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
