package datagram

import "sync"

// answerBacklog is how many answers to one query are buffered until its sender reads them.
const answerBacklog = 4

// Queries numbers the queries that this relay sends to other relays and delivers each answer to the goroutine that waits
// for it. It is safe for concurrent use.
type Queries[Answer any] struct {
	socket *Socket

	mutex      sync.Mutex
	lastNumber uint64
	// pending maps the numbers of unanswered queries to the channels of their answers.
	pending map[uint64]chan Answer
}

// NewQueries returns an empty set of queries; dropped answers are counted by the socket.
func NewQueries[Answer any](socket *Socket) *Queries[Answer] {
	return &Queries[Answer]{socket: socket, pending: map[uint64]chan Answer{}}
}

// Open registers a new query and returns its number and the channel that receives its answers.
func (q *Queries[Answer]) Open() (number uint64, answers chan Answer) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.lastNumber++
	answers = make(chan Answer, answerBacklog)
	q.pending[q.lastNumber] = answers
	return q.lastNumber, answers
}

// Close removes a query. Answers that arrive later are dropped.
func (q *Queries[Answer]) Close(number uint64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.pending, number)
}

// Deliver passes an answer to the goroutine that waits for it. It drops and counts an answer for which no query waits or
// whose query's backlog is full. isAddressed is false for an answer to another incarnation of this relay, which is dropped
// as well. Deliver does not block.
func (q *Queries[Answer]) Deliver(number uint64, isAddressed bool, answer Answer) {
	q.mutex.Lock()
	receiver := q.pending[number]
	q.mutex.Unlock()
	if receiver == nil || !isAddressed {
		q.socket.CountDrop(Unexpected)
		return
	}
	select {
	case receiver <- answer:
	default:
		q.socket.CountDrop(BacklogFull)
	}
}
