package fleet

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// stopPatience is how long a process may take to stop before it is killed, beyond what its settings give it
// for what is in flight.
const stopPatience = 10 * time.Second

// Role is which server a process is.
type Role string

// Roles of processes.
const (
	RoleController Role = "controller"
	RoleGateway    Role = "gateway"
)

// Process is one controller or gateway of a fleet, a real process of its own. It is
// safe for concurrent use.
type Process struct {
	Name string
	Role Role
	Zone string
	// Listen and AdminListen are its IP:ports.
	Listen      string
	AdminListen string
	// SettingsPath is the file it was started with.
	SettingsPath string
	// LogPath holds its standard error over all starts.
	LogPath string
	// DataDirectory is a controller's disk; empty for gateways.
	DataDirectory string

	// drainTimeout is what the settings give the process to finish what is in flight when it is asked to stop.
	drainTimeout time.Duration
	// program is what runs; empty for this program itself.
	program   string
	arguments []string
	mutex     sync.Mutex
	command   *exec.Cmd
	input     io.Writer     // standard input of the present process
	ended     chan struct{} // closed when the present process has ended
	starts    int
}

// Start starts the process; it does nothing when it runs.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running() {
		return nil
	}
	program, err := p.executable()
	if err != nil {
		return trace.Wrap(err)
	}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command := exec.Command(program, p.arguments...)
	command.Stdout, command.Stderr = log, log
	command.Dir = filepath.Dir(p.SettingsPath)
	// The process ends when its standard input does: it doesn't outlive this one.
	input, err := command.StdinPipe()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := command.Start(); err != nil {
		return trace.Wrap(err, "starting %s", p.Name)
	}
	ended := make(chan struct{})
	p.command, p.ended, p.input = command, ended, input
	p.starts++
	go func() {
		_ = command.Wait() // how it ended is in its log
		close(ended)
	}()
	return nil
}

// NewProcess returns a process that does not run yet: a program, empty for this one itself, with its
// arguments. Its settings file and its disk are the caller's.
func NewProcess(name, program string, arguments []string, settingsPath, logPath, dataDirectory string) *Process {
	return &Process{
		Name: name, program: program, arguments: arguments, SettingsPath: settingsPath, LogPath: logPath, DataDirectory: dataDirectory,
	}
}

// ReplaceProgram lets the process be another program from its next start on, empty for this one itself.
func (p *Process) ReplaceProgram(program string, arguments []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.program, p.arguments = program, arguments
}

// executable is the path of what runs.
func (p *Process) executable() (string, error) {
	if p.program != "" {
		return p.program, nil
	}
	return os.Executable()
}

// Reload tells the process that its settings have changed (SIGHUP).
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

// DumpLogs asks the process to write its log out (SIGUSR1).
func (p *Process) DumpLogs() { p.signal(syscall.SIGUSR1) }

// Terminate asks the process to stop (SIGTERM) and does not wait for it.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// running tells whether the present process has not ended. The mutex is held.
func (p *Process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// tell writes to the present process's standard input.
func (p *Process) tell(line []byte) error {
	p.mutex.Lock()
	input := p.input
	p.mutex.Unlock()
	_, err := input.Write(line)
	return trace.Wrap(err, "telling %s", p.Name)
}

// Running tells whether the process runs.
func (p *Process) Running() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.running()
}

// Starts counts how often the process was started.
func (p *Process) Starts() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.starts
}

// Kill ends the process at once (SIGKILL) and waits for its end.
func (p *Process) Kill() { p.signalAndWait(syscall.SIGKILL) }

// Stop asks the process to stop (SIGTERM), waits, and kills it when it takes too long.
// It reports whether the process stopped by itself.
func (p *Process) Stop() bool {
	p.signal(syscall.SIGTERM)
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(p.drainTimeout + stopPatience):
		p.signalAndWait(syscall.SIGKILL)
		return false
	}
}

// Pause stops the process's execution for a time (SIGSTOP, then SIGCONT).
func (p *Process) Pause(pause time.Duration) {
	p.Suspend()
	time.AfterFunc(pause, p.Resume)
}

// Suspend stops the process's execution (SIGSTOP) until Resume.
func (p *Process) Suspend() { p.signal(syscall.SIGSTOP) }

// Resume goes on with the process's execution (SIGCONT).
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// ReplaceDisk empties the disk of a controller that does not run: its next start is
// on a new disk.
func (p *Process) ReplaceDisk() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.DataDirectory == "" || p.running() {
		return trace.BadParameter("%s runs, or has no disk", p.Name)
	}
	if err := os.RemoveAll(p.DataDirectory); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.MkdirAll(p.DataDirectory, 0o755))
}

func (p *Process) signal(what syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running() {
		_ = p.command.Process.Signal(what) // it may just have ended
	}
}

func (p *Process) signalAndWait(what syscall.Signal) {
	p.signal(what)
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	if ended != nil {
		<-ended
	}
}
