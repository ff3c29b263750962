package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/hazelpitch/hazelpitch/platform"
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

// page is the only page of the list; NextPageToken is null on the last one.
type page struct {
	Instances     []instance
	NextPageToken *string
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
	if request.URL.Path != platform.PathListing {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(page{Instances: append([]instance{}, l.instances...)})
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
