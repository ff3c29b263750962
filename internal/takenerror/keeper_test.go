package takenerror

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// writer is a connection whose write returns once its deadline was set.
type writer struct {
	net.Conn
	isStopped chan struct{}
}

// SetWriteDeadline implements net.Conn.
func (w *writer) SetWriteDeadline(time.Time) error {
	close(w.isStopped)
	return nil
}

// systemError returns an error as package net returns it.
func systemError(number syscall.Errno) error {
	return &net.OpError{Op: "write", Err: os.NewSyscallError("write", number)}
}

// Guards against an end of the stream that looks ordinary, since a write has got the error by which the connection ended: before the
// read, or at the same time and without having returned yet.
func TestReadReturnsTheErrorThatAWriteHasGot(t *testing.T) {
	for number, isKept := range map[syscall.Errno]bool{
		syscall.ECONNRESET: true, syscall.ETIMEDOUT: true, syscall.EHOSTUNREACH: true, syscall.ENETUNREACH: true, syscall.EPIPE: false,
	} {
		want := io.EOF
		if isKept {
			want = error(number)
		}
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			earlier := &Keeper{}
			require.Error(t, earlier.Write(func() error { return systemError(number) }))
			require.ErrorIs(t, earlier.OfRead(nil, io.EOF), want)
			synctest.Test(t, func(t *testing.T) {
				during := &Keeper{}
				connection := &writer{isStopped: make(chan struct{})}
				go func() {
					_ = during.Write(func() error {
						<-connection.isStopped
						time.Sleep(time.Second) // the system call has returned, and the writer does not run
						return systemError(number)
					})
				}()
				synctest.Wait()
				require.ErrorIs(t, during.OfRead(connection, io.EOF), want)
			})
		})
	}
}

// Guards against other errors and ends that are replaced.
func TestOtherErrorsStay(t *testing.T) {
	keeper := &Keeper{}
	require.NoError(t, keeper.OfRead(nil, nil))
	require.ErrorIs(t, keeper.OfRead(nil, io.EOF), io.EOF)
	require.NoError(t, keeper.Write(func() error { return nil }))
	require.ErrorIs(t, keeper.Write(func() error { return os.ErrDeadlineExceeded }), os.ErrDeadlineExceeded)
	require.ErrorIs(t, keeper.OfRead(nil, io.EOF), io.EOF)
	keeper.During(func() error { return systemError(syscall.EAGAIN) })
	require.ErrorIs(t, keeper.OfRead(nil, io.EOF), io.EOF)
	keeper.During(func() error { return systemError(syscall.ECONNRESET) })
	require.ErrorIs(t, keeper.OfRead(nil, os.ErrDeadlineExceeded), os.ErrDeadlineExceeded)
	require.True(t, errors.Is(keeper.OfRead(nil, io.EOF), syscall.ECONNRESET))
}
