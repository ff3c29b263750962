package datagram

import "sync"

// openAnswers is how many answers to one question may wait to be read.
const openAnswers = 4

// Questions numbers what this relay asks others and hands their answers to those who wait for them. It is safe for
// concurrent use.
type Questions[Answer any] struct {
	socket *Socket

	mutex  sync.Mutex
	number uint64
	// open are the questions that wait for answers.
	open map[uint64]chan Answer
}

// NewQuestions returns the questions that are asked by a socket.
func NewQuestions[Answer any](socket *Socket) *Questions[Answer] {
	return &Questions[Answer]{socket: socket, open: map[uint64]chan Answer{}}
}

// Begin numbers a question and returns where answers to it come.
func (q *Questions[Answer]) Begin() (number uint64, answers chan Answer) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.number++
	answers = make(chan Answer, openAnswers)
	q.open[q.number] = answers
	return q.number, answers
}

// End forgets a question.
func (q *Questions[Answer]) End(number uint64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.open, number)
}

// Take hands an answer to the question that waits for it. One that is meant for another start of this relay, or that
// nobody waits for, is dropped and counted.
func (q *Questions[Answer]) Take(number uint64, isMeant bool, answer Answer) {
	q.mutex.Lock()
	waiting := q.open[number]
	q.mutex.Unlock()
	if waiting == nil || !isMeant {
		q.socket.Drop(NotExpected)
		return
	}
	select {
	case waiting <- answer:
	default:
		q.socket.Drop(TooMany)
	}
}
