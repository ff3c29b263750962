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

// stopGracePeriod is how long a process may take to stop, beyond the drain timeout of its settings, before it is
// killed.
const stopGracePeriod = 10 * time.Second

// Role is the kind of server that a process runs.
type Role string

// Roles of processes.
const (
	RoleController Role = "controller"
	RoleGateway    Role = "gateway"
)

// Process is one controller or gateway of a fleet, as an OS process. It is safe for
// concurrent use.
type Process struct {
	Name string
	Role Role
	Zone string
	// Listen and AdminListen are the IP:ports that the process listens on.
	Listen      string
	AdminListen string
	// SettingsPath is the settings file that the process is started with.
	SettingsPath string
	// LogPath is the file that receives the output of all its starts.
	LogPath string
	// DataDirectory is a controller's data directory; empty for gateways.
	DataDirectory string

	// drainTimeout is the time that the settings allow for work in flight after the process was asked to stop.
	drainTimeout time.Duration
	// program is the path of the executable; empty for this program itself.
	program    string
	arguments  []string
	mutex      sync.Mutex
	command    *exec.Cmd
	input      io.Writer     // standard input of the current process
	exited     chan struct{} // closed when the current process has exited
	startCount int
}

// Start starts the process; it does nothing while the process runs.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isRunning() {
		return nil
	}
	program, err := p.programPath()
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
	// The server exits when its standard input closes, so that it does not outlive this process.
	input, err := command.StdinPipe()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := command.Start(); err != nil {
		return trace.Wrap(err, "starting %s", p.Name)
	}
	ended := make(chan struct{})
	p.command, p.exited, p.input = command, ended, input
	p.startCount++
	go func() {
		_ = command.Wait() // the process's log shows how it ended
		close(ended)
	}()
	return nil
}

// NewProcess returns a process that has not been started. An empty program is this program itself. The caller
// provides the settings file and the data directory.
func NewProcess(name, program string, arguments []string, settingsPath, logPath, dataDirectory string) *Process {
	return &Process{
		Name: name, program: program, arguments: arguments, SettingsPath: settingsPath, LogPath: logPath, DataDirectory: dataDirectory,
	}
}

// ReplaceProgram changes the program and its arguments from the next start on; an empty program is this program
// itself.
func (p *Process) ReplaceProgram(program string, arguments []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.program, p.arguments = program, arguments
}

// programPath returns the absolute path of the executable to run: processes run in the directory of their settings.
func (p *Process) programPath() (string, error) {
	if p.program == "" {
		return os.Executable()
	}
	found, err := exec.LookPath(p.program)
	if err != nil {
		return "", trace.Wrap(err, "finding the program of %s", p.Name)
	}
	return filepath.Abs(found)
}

// Reload asks the process to reload its settings (SIGHUP).
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

// DumpLogs asks the process to write out its log (SIGUSR1).
func (p *Process) DumpLogs() { p.signal(syscall.SIGUSR1) }

// Terminate asks the process to stop (SIGTERM) and returns without waiting.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// isRunning reports whether the current process has not exited. The caller holds the mutex.
func (p *Process) isRunning() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// writeInput writes a line to the current process's standard input.
func (p *Process) writeInput(line []byte) error {
	p.mutex.Lock()
	input := p.input
	p.mutex.Unlock()
	_, err := input.Write(line)
	return trace.Wrap(err, "writing to the standard input of %s", p.Name)
}

// Running reports whether the process is running.
func (p *Process) Running() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.isRunning()
}

// Starts returns how often the process has been started.
func (p *Process) Starts() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.startCount
}

// Kill ends the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() { p.signalAndWait(syscall.SIGKILL) }

// Stop asks the process to stop (SIGTERM), waits, and kills it if it has not exited after the
// drain timeout and stopGracePeriod. It reports whether the process exited without a kill.
func (p *Process) Stop() bool {
	p.signal(syscall.SIGTERM)
	p.mutex.Lock()
	ended := p.exited
	p.mutex.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(p.drainTimeout + stopGracePeriod):
		p.signalAndWait(syscall.SIGKILL)
		return false
	}
}

// Pause suspends the process for a duration (SIGSTOP, then SIGCONT) and returns without waiting.
func (p *Process) Pause(pause time.Duration) {
	p.Suspend()
	time.AfterFunc(pause, p.Resume)
}

// Suspend suspends the process (SIGSTOP) until Resume is called.
func (p *Process) Suspend() { p.signal(syscall.SIGSTOP) }

// Resume continues a suspended process (SIGCONT).
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// ReplaceDisk empties the data directory of a controller that is not running, as if its disk
// had been replaced.
func (p *Process) ReplaceDisk() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.DataDirectory == "" || p.isRunning() {
		return trace.BadParameter("can't replace the disk of %s: the process is running or has no data directory", p.Name)
	}
	if err := os.RemoveAll(p.DataDirectory); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.MkdirAll(p.DataDirectory, 0o755))
}

func (p *Process) signal(what syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isRunning() {
		_ = p.command.Process.Signal(what) // it may just have ended
	}
}

func (p *Process) signalAndWait(what syscall.Signal) {
	p.signal(what)
	p.mutex.Lock()
	ended := p.exited
	p.mutex.Unlock()
	if ended != nil {
		<-ended
	}
}
