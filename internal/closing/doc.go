// Package closing closes listeners and connections without losing requests that have already arrived.
//
// When a listener is closed, the kernel resets every connection in its accept queue. When a connection is
// closed, its unread bytes are discarded. In both cases the sender gets no answer. Therefore this package
// closes a listener only once its queue is empty, and an idle connection only once a final read has found
// nothing on it. A request that is on its way at that moment gets an answer that the server has set for
// this case. After an answer, a connection is closed only once the client had time to read it.
package closing
