package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
)

// instance is one entry of the platform's list.
type instance struct {
	ID              string `json:"Id"`
	Service         string
	Address         string
	Zone            string
	Version         string
	Slots           int
	State           string
	ColdRemainingMs int
	Stage           string `json:",omitempty"`
}

// list is the platform's list of replicas. It is safe for concurrent use.
type list struct {
	address   string
	mutex     sync.Mutex
	instances []instance
}

func startList(address string) (*list, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	created := &list{address: address}
	go func() { _ = http.Serve(listener, created) }() // ends with the process
	return created, nil
}

// ServeHTTP implements http.Handler.
func (l *list) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/instances" {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"Instances": append([]instance{}, l.instances...), "NextPageToken": nil})
}

func (l *list) add(added instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.instances = append(l.instances, added)
}

func (l *list) remove(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.instances = slices.DeleteFunc(l.instances, func(each instance) bool { return each.ID == id })
}
