// Package framing reads the bodies of HTTP/1.1 messages. It keeps two facts apart: that the bytes have ended, and that the
// sender has declared this end. A length and the last chunk say both; the close of a connection says the first only.
package framing
