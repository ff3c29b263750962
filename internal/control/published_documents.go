package control

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/packed"
)

const (
	// maximumPublishedDocuments is the number of published documents that are retained to make patches from.
	maximumPublishedDocuments = 4
	// documentBytesPerSecond limits the rate at which document contents are published: a relay can parse a few megabytes
	// of them a second, and must have time left for requests.
	documentBytesPerSecond = 2 << 20
)

// publishedDocuments are the documents that the leader sends to relays. When documents follow each other so fast that
// parsing each of them would cost relays too much, some are skipped.
type publishedDocuments struct {
	// documents are the last published documents, the newest last.
	documents []*v1.Document
	// nextAt is the time from which a newer document may be published.
	nextAt time.Duration
	// patches turn earlier documents into the newest one, by the number of the earlier document.
	patches map[uint64][]byte
}

// advance publishes the document in force unless the previous one was published too recently, and returns the newest
// published document; nil before the first.
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

// patchFrom returns the patch that turns the document with a number into the newest one; nil if that document is not
// retained.
func (t *publishedDocuments) patchFrom(number uint64) []byte {
	if patch, cached := t.patches[number]; cached {
		return patch
	}
	for _, former := range t.documents[:max(len(t.documents)-1, 0)] {
		if former.GetNumber() != number {
			continue
		}
		patch, err := packed.MakePatch(former.GetContent(), t.newest().GetContent())
		if err != nil {
			return nil // the whole document is sent instead
		}
		t.patches[number] = patch
		return patch
	}
	return nil
}
