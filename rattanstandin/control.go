package rattanstandin

import (
	"net/http"

	"github.com/juju/errors"
)

// TargetControl changes how targets of a fleet misbehave; its parts are applied
// in the order of the fields.
type TargetControl struct {
	// Names are the targets concerned; none means all.
	Names []string `json:",omitempty"`
	// Revive starts new processes of targets that are down.
	Revive bool `json:",omitempty"`
	// Behaviour replaces the behaviour; null leaves it.
	Behaviour *Behaviour `json:",omitempty"`
	// Silence makes the open connections go silent.
	Silence Silence `json:",omitempty"`
	// Kill ends the processes.
	Kill bool `json:",omitempty"`
}

// StartCounts sums up a start log.
type StartCounts struct {
	Starts       uint64
	DoubleStarts uint64
	// Doubles are IDs of tasks that were started more than once.
	Doubles []string `json:",omitempty"`
}

// Control applies a change to targets.
func (f *TargetFleet) Control(control TargetControl) error {
	targets := f.Targets
	if len(control.Names) > 0 {
		targets = nil
	}
	for _, name := range control.Names {
		target := f.Target(name)
		if target == nil {
			return errors.Errorf("Names: no target %q", name)
		}
		targets = append(targets, target)
	}
	for _, target := range targets {
		if err := target.control(control); err != nil {
			return errors.Annotatef(err, "target %q", target.Name())
		}
	}
	return nil
}

// Counts sums up the start log.
func (f *TargetFleet) Counts() StartCounts {
	return StartCounts{Starts: f.log.Starts(), DoubleStarts: f.log.DoubleStarts(), Doubles: f.log.Doubles()}
}

func (t *Target) control(control TargetControl) error {
	if control.Revive {
		if err := t.Revive(); err != nil {
			return err
		}
	}
	if control.Behaviour != nil {
		t.SetBehaviour(*control.Behaviour)
	}
	if control.Silence != SilenceNone {
		t.Silence(control.Silence)
	}
	if control.Kill {
		t.Kill()
	}
	return nil
}

func (f *TargetFleet) startControl() error {
	listener, err := listen(f.options.ControlAddress)
	if err != nil {
		return errors.Annotate(err, "control")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/instances", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, f.Instances())
	})
	mux.HandleFunc("GET /control/starts", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, f.Counts())
	})
	mux.HandleFunc("POST /control/faults", f.serveControl)
	f.controlAddress = listener.Addr().String()
	f.control = &http.Server{Handler: mux, ErrorLog: quietLog}
	f.served = make(chan struct{})
	go serveUntilClosed(f.control, listener, f.served)
	return nil
}

func (f *TargetFleet) serveControl(w http.ResponseWriter, r *http.Request) {
	var control TargetControl
	err := readJSON(r, &control)
	if err == nil {
		err = f.Control(control)
	}
	if err != nil {
		answer(w, http.StatusBadRequest, failure{Error: err.Error()})
		return
	}
	answer(w, http.StatusOK, f.Counts())
}
