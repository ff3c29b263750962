package main

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// process is a process that a case has started.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
}

var (
	startedMutex sync.Mutex
	started      []*process
)

// startProcess starts a program; its output goes to a file. The process ends with this one.
func startProcess(name, logPath, program string, arguments ...string) (*process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	created := &process{name: name, command: command, done: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(created.done)
	}()
	startedMutex.Lock()
	defer startedMutex.Unlock()
	started = append(started, created)
	return created, nil
}

func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// killAll kills all processes that were started.
func killAll() {
	startedMutex.Lock()
	defer startedMutex.Unlock()
	for _, each := range started {
		each.kill()
	}
}
