package rattanstandin

import (
	"net/http"

	"github.com/juju/errors"
)

// TargetControl is a control request that injects faults into the targets of a
// fleet. Its parts are applied in the order of the fields.
type TargetControl struct {
	// Names selects the targets; an empty list selects all.
	Names []string `json:",omitempty"`
	// Restart restarts the targets that were killed.
	Restart bool `json:"Revive,omitempty"`
	// Behaviour replaces the behaviour; null leaves it unchanged.
	Behaviour *Behaviour `json:",omitempty"`
	// Silence makes the open connections lose data permanently. New connections
	// work normally.
	Silence Silence `json:",omitempty"`
	// Kill kills the targets.
	Kill bool `json:",omitempty"`
}

// StartCounts is the summary of a start log.
type StartCounts struct {
	Starts       uint64
	DoubleStarts uint64
	// DoubleStartIDs are the IDs of tasks that were started more than once.
	DoubleStartIDs []string `json:"Doubles,omitempty"`
}

// Control applies a control request to the targets that it selects.
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
		if err := target.applyControl(control); err != nil {
			return errors.Annotatef(err, "target %q", target.Name())
		}
	}
	return nil
}

// Counts returns the summary of the start log.
func (f *TargetFleet) Counts() StartCounts {
	return StartCounts{Starts: f.startLog.Starts(), DoubleStarts: f.startLog.DoubleStarts(), DoubleStartIDs: f.startLog.DoubleStartIDs()}
}

func (t *Target) applyControl(control TargetControl) error {
	if control.Restart {
		if err := t.Restart(); err != nil {
			return err
		}
	}
	if control.Behaviour != nil {
		t.SetBehaviour(*control.Behaviour)
	}
	if control.Silence != SilenceNone {
		t.SilenceConnections(control.Silence)
	}
	if control.Kill {
		t.Kill()
	}
	return nil
}

func (f *TargetFleet) startControlServer() error {
	listener, err := listen(f.options.ControlAddress)
	if err != nil {
		return errors.Annotate(err, "control interface")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/instances", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, f.Instances())
	})
	mux.HandleFunc("GET /control/starts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, f.Counts())
	})
	mux.HandleFunc("POST /control/faults", f.serveTargetControl)
	f.controlAddress = listener.Addr().String()
	f.controlServer = &http.Server{Handler: mux, ErrorLog: discardLogger}
	f.controlServerDone = make(chan struct{})
	go serveUntilClosed(f.controlServer, listener, f.controlServerDone)
	return nil
}

func (f *TargetFleet) serveTargetControl(w http.ResponseWriter, r *http.Request) {
	var control TargetControl
	err := readJSON(r, &control)
	if err == nil {
		err = f.Control(control)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, f.Counts())
}
