// Package api holds the protocol buffers of hazelpitch's internal protocol.
// The generated Go code is committed; regenerate it with `go generate ./api`
// (needs protoc 3.21 or later; the plugins are pinned in go.mod).
package api

//go:generate bash generate.sh
