package rattanprocess

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/platform"
	"github.com/rattanlever/rattanlever/rattansite"
)

const (
	settingsFileMode = 0o600
	readyInterval    = 20 * time.Millisecond
)

// Instance is an instance of the program that runs as a process of its own. Its
// process can be started again after it has ended.
type Instance struct {
	rattansite.InstanceSettings
	binary, settingsFile string
	output               lockedBuffer

	mutex   sync.Mutex
	command *exec.Cmd
	// ended is closed while no process runs.
	ended chan struct{}
}

// lockedBuffer is a buffer that can be read while a process writes to it.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

// newInstance writes the settings file of an instance.
func newInstance(binary, directory string, settings rattansite.InstanceSettings) (*Instance, error) {
	data, err := settings.File()
	if err != nil {
		return nil, err
	}
	i := &Instance{InstanceSettings: settings, binary: binary, settingsFile: filepath.Join(directory, settings.Name+".json"), ended: make(chan struct{})}
	close(i.ended)
	return i, errors.Trace(os.WriteFile(i.settingsFile, data, settingsFileMode))
}

// Start starts the process, whose output is appended to Output.
func (i *Instance) Start() error {
	return i.StartWithOutput(&i.output)
}

// StartWithOutput starts the process, which writes to the given output.
func (i *Instance) StartWithOutput(output io.Writer) error {
	command := exec.Command(i.binary, "serve")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+i.settingsFile)
	command.Stdout = output
	command.Stderr = output
	if err := command.Start(); err != nil {
		return errors.Annotate(err, i.Name)
	}
	ended := make(chan struct{})
	i.mutex.Lock()
	i.command, i.ended = command, ended
	i.mutex.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// Output returns what the processes have written since the first Start.
func (i *Instance) Output() string {
	i.output.mutex.Lock()
	defer i.output.mutex.Unlock()
	return i.output.buffer.String()
}

// process returns the process that was started last, nil if none was.
func (i *Instance) process() *os.Process {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.command == nil {
		return nil
	}
	return i.command.Process
}

// Signal sends a signal to the process. The error is os.ErrProcessDone if none runs.
func (i *Instance) Signal(signal syscall.Signal) error {
	process := i.process()
	if process == nil {
		return os.ErrProcessDone
	}
	return process.Signal(signal)
}

// Ended returns a channel that is closed once the process has ended.
func (i *Instance) Ended() <-chan struct{} {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.ended
}

// End sends a signal that ends the process and waits for its exit.
func (i *Instance) End(signal syscall.Signal) {
	// A process that has ended needs no signal.
	_ = i.Signal(signal)
	<-i.Ended()
}

// Pause stops the process for the duration, without waiting for its end.
func (i *Instance) Pause(duration time.Duration) {
	_ = i.Signal(syscall.SIGSTOP)
	time.AfterFunc(duration, func() { _ = i.Signal(syscall.SIGCONT) })
}

// Alive reports whether the process has not ended.
func (i *Instance) Alive() bool {
	select {
	case <-i.Ended():
		return false
	default:
		return true
	}
}

// ExitCode returns the exit code of the process that has ended last.
func (i *Instance) ExitCode() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.command.ProcessState.ExitCode()
}

// WaitReady asks the instance by the client until it is ready.
func (i *Instance) WaitReady(client *http.Client, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(readyInterval) {
		response, err := client.Get("http://" + i.IP + ":" + rattansite.ReadinessPort + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("%s is not ready after %v", i.Name, timeout)
}

// NewRequest returns a request of a caller, who states the deadline unless it is 0.
func (i *Instance) NewRequest(ctx context.Context, method, path string, body []byte, deadline time.Duration) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.IP+":"+rattansite.CallerPort+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Host = Host
	if deadline > 0 {
		request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	return request, nil
}

// Answer is the answer to a request. Status is 0 if there was no answer.
type Answer struct {
	Status int
	Body   string
	Header http.Header
}

// AnswerTo sends a request by the function and returns the answer.
func AnswerTo(send func(*http.Request) (*http.Response, error), request *http.Request) Answer {
	response, err := send(request)
	if err != nil {
		return Answer{}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}
	}
	return Answer{Status: response.StatusCode, Body: string(data), Header: response.Header}
}
