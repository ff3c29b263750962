// Package keys creates and checks the credentials of processes, operators and tenants:
// bearer keys, of which only hashes are stored, and the certificates of one fleet's
// authority. It contains the project's TLS configuration.
package keys
