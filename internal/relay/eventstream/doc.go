// Package eventstream splits the bodies of answers into server-sent events.
package eventstream
