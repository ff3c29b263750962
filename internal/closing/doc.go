// Package closing ends listeners and connections without losing a request that has reached them.
//
// A listener that is closed has the kernel reset every connection that waits in its queue, and a
// connection that is closed has its unread bytes thrown away: whoever sent them gets no answer. So a
// listener is closed here only once its queue was found empty, and a connection only once a last read
// has found nothing on it.
package closing
