#!/usr/bin/env bash
# Regenerates the Go code of the internal protocol. The plugins come from go.mod.
set -euo pipefail
cd "$(dirname "$0")"
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
go build -o "$plugins" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$plugins:$PATH" protoc -I . \
  --go_out=. --go_opt=paths=source_relative \
  --connect-go_out=. --connect-go_opt=paths=source_relative \
  hazelpitch/v1/*.proto
# What the newest format has, for the tests that hold later builds against it. A format that was released stays as it is.
newest=$(sed -n 's/^\t[A-Za-z]* Number = \([0-9]*\)$/\1/p' ../internal/formats/number.go | tail -1)
protoc -I . --include_imports --descriptor_set_out="../internal/formats/released/format-$newest.binpb" hazelpitch/v1/*.proto
