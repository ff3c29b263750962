package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// stopPatience is how long a process may take to stop before it is killed.
const stopPatience = 5 * time.Second

// processHost runs a member as a process: this program with the hidden arguments of
// MemberArguments. Commands and answers are lines of JSON on its standard streams.
type processHost struct {
	name      string
	directory string
	arguments MemberArguments

	mutex   sync.Mutex
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Reader
	ended   chan struct{}
}

// MemberArguments makes the arguments for this program to run a member of a spec.
type MemberArguments func(specPath string) []string

func (h *processHost) start(spec Spec) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.running() {
		return nil
	}
	path := filepath.Join(h.directory, h.name+".json")
	text, err := json.Marshal(spec)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	program, err := os.Executable()
	if err != nil {
		return trace.Wrap(err)
	}
	log, err := os.OpenFile(filepath.Join(h.directory, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command := exec.Command(program, h.arguments(path)...)
	command.Stderr = log
	input, err := command.StdinPipe()
	if err != nil {
		return trace.Wrap(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := command.Start(); err != nil {
		return trace.Wrap(err, "starting %s", h.name)
	}
	ended := make(chan struct{})
	h.command, h.input, h.output, h.ended = command, input, bufio.NewReader(output), ended
	go func() {
		_, _ = command.Process.Wait() // how it ended is in its log
		close(ended)
	}()
	return nil
}

// running tells whether the process has not ended. The mutex is held.
func (h *processHost) running() bool {
	if h.command == nil {
		return false
	}
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

func (h *processHost) send(command Command) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.running() {
		return nil
	}
	if err := json.NewEncoder(h.input).Encode(command); err != nil {
		return trace.Wrap(err, "commanding %s", h.name)
	}
	line, err := h.output.ReadBytes('\n')
	if err != nil {
		return trace.Wrap(err, "%s has ended; its log is %s.log", h.name, h.name)
	}
	var failure string
	if err := json.Unmarshal(line, &failure); err != nil {
		return trace.Wrap(err, "answer of %s", h.name)
	}
	if failure != "" {
		return trace.Errorf("%s: %s", h.name, failure)
	}
	return nil
}

func (h *processHost) kill() { h.end(syscall.SIGKILL) }
func (h *processHost) stop() { h.end(syscall.SIGTERM) }

func (h *processHost) end(signal syscall.Signal) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.running() {
		return
	}
	_ = h.command.Process.Signal(signal)
	select {
	case <-h.ended:
	case <-time.After(stopPatience):
		_ = h.command.Process.Kill()
		<-h.ended
	}
	_ = h.input.Close()
}

func (h *processHost) pid() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.running() {
		return 0
	}
	return h.command.Process.Pid
}

// ServeMember runs the member of a spec file until the context or the input ends.
func ServeMember(ctx context.Context, specPath string, input io.Reader, output io.Writer) error {
	text, err := os.ReadFile(specPath)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var spec Spec
	if err := json.Unmarshal(text, &spec); err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	commands, answers := make(chan Command), make(chan error)
	go func() {
		defer cancel() // the fleet is gone
		if err := relay(ctx, input, output, commands, answers); err != nil && !errors.Is(err, io.EOF) {
			_, _ = io.WriteString(os.Stderr, err.Error()+"\n")
		}
	}()
	return trace.Wrap(RunMember(ctx, spec, commands, answers))
}

// relay passes commands in and answers out until the input ends.
func relay(ctx context.Context, input io.Reader, output io.Writer, commands chan<- Command, answers <-chan error) error {
	decoder, encoder := json.NewDecoder(input), json.NewEncoder(output)
	for {
		var command Command
		if err := decoder.Decode(&command); err != nil {
			return trace.Unwrap(err)
		}
		select {
		case commands <- command:
		case <-ctx.Done():
			return nil
		}
		failure := ""
		if err := <-answers; err != nil {
			failure = err.Error()
		}
		if err := encoder.Encode(failure); err != nil {
			return trace.Wrap(err)
		}
	}
}
