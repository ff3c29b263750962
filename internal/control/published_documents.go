package control

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/packed"
)

const (
	// maximumPublishedDocuments is how many documents that relays were told of are kept, to tell what has changed since.
	maximumPublishedDocuments = 4
	// documentBytesPerSecond is the rate at which contents of documents are told: a relay reads some
	// megabytes of them a second, and only a part of its time may go to that.
	documentBytesPerSecond = 2 << 20
)

// publishedDocuments are the documents that the leader tells relays of. Those that follow one another fast
// are skipped where reading each would cost relays too much.
type publishedDocuments struct {
	// documents are the last ones, the newest last.
	documents []*v1.Document
	// nextAt is when a newer one may be told.
	nextAt time.Duration
	// patches make the newest of each earlier one, by its number.
	patches map[uint64][]byte
}

// advance takes the document in force, if it may be told yet, and returns the newest that is told; nil
// before the first.
func (t *publishedDocuments) advance(now time.Duration, inForce *v1.Document) *v1.Document {
	newest := t.newest()
	if inForce.GetNumber() <= newest.GetNumber() || now < t.nextAt {
		return newest
	}
	t.documents = append(t.documents, inForce)
	if len(t.documents) > maximumPublishedDocuments {
		t.documents = t.documents[1:]
	}
	t.nextAt = now + time.Duration(len(inForce.GetContent()))*time.Second/documentBytesPerSecond
	t.patches = map[uint64][]byte{}
	return inForce
}

func (t *publishedDocuments) newest() *v1.Document {
	if len(t.documents) == 0 {
		return nil
	}
	return t.documents[len(t.documents)-1]
}

// patchFrom returns what makes the newest document of the one with a number; nil where that is not
// kept.
func (t *publishedDocuments) patchFrom(number uint64) []byte {
	if patch, made := t.patches[number]; made {
		return patch
	}
	for _, former := range t.documents[:max(len(t.documents)-1, 0)] {
		if former.GetNumber() != number {
			continue
		}
		patch, err := packed.MakePatch(former.GetContent(), t.newest().GetContent())
		if err != nil {
			return nil // the whole document is told instead
		}
		t.patches[number] = patch
		return patch
	}
	return nil
}
