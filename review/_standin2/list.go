package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hazelpitch/hazelpitch/platform"
)

// list is the platform's list of replicas.
type list struct {
	address string
	server  *http.Server
	mutex   sync.Mutex
	entries []instance
}

func startList(address string) (*list, error) {
	l := &list{address: address}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+platform.PathListing, func(writer http.ResponseWriter, _ *http.Request) {
		l.mutex.Lock()
		content, _ := json.Marshal(instancePage{Instances: l.entries})
		l.mutex.Unlock()
		writer.Header().Set("Content-Type", "application/json")
		_, _ = writer.Write(content)
	})
	l.server = &http.Server{Handler: routes, ReadHeaderTimeout: time.Second}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// set replaces the entry of a replica, or adds it.
func (l *list) set(entry instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for index := range l.entries {
		if l.entries[index].Id == entry.Id {
			l.entries[index] = entry
			return
		}
	}
	l.entries = append(l.entries, entry)
}

func (l *list) close() { _ = l.server.Close() }
