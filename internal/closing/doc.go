// Package closing closes listeners and connections without losing requests that have already arrived.
//
// When a listener is closed, the kernel resets every connection in its accept queue. When a connection is
// closed, its unread bytes are discarded. In both cases the sender gets no answer. Therefore this package
// closes a listener only once its queue is empty, and a connection only once a final read has found
// nothing on it.
package closing
