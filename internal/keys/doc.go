// Package keys makes and checks what processes, operators and tenants prove
// themselves with: bearer keys, kept as hashes only, and the certificates of one
// fleet's authority. It does the project's TLS configuration and nothing else.
package keys
