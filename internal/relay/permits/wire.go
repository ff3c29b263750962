package permits

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
)

// askToWire writes a question.
func askToWire(ask fleetlimit.PermitRequest, number uint64) *v1.LimitAsk {
	return &v1.LimitAsk{
		Relay: ask.RequesterID, Number: number, Limit: fleetlimit.ToWire(fleetlimit.BackEndLimit{BackEnd: ask.BackEnd, Limit: ask.Limit}),
		Heard: ask.LimitFromBackEnd, Rank: uint32(ask.Rank), Owed: ask.MustResume,
	}
}

// askFromWire reads a question; false for one that is none.
func askFromWire(told *v1.LimitAsk) (fleetlimit.PermitRequest, bool) {
	named, valid := fleetlimit.FromWire(told.GetLimit())
	ask := fleetlimit.PermitRequest{
		BackEnd: named.BackEnd, Limit: named.Limit, LimitFromBackEnd: told.GetHeard(), RequesterID: told.GetRelay(),
		Rank: int(min(told.GetRank(), fleetlimit.RankCount-1)), MustResume: told.GetOwed(),
	}
	return ask, valid
}

// answerToWire writes the answer to a question.
func answerToWire(asked *v1.LimitAsk, answer fleetlimit.PermitResponse, kept bool) *v1.LimitAnswer {
	return &v1.LimitAnswer{
		Number: asked.GetNumber(), Relay: asked.GetRelay(), Granted: answer.Granted, WaitUs: uint64(max(answer.Wait.Microseconds(), 0)),
		Limit: fleetlimit.ToWire(fleetlimit.BackEndLimit{BackEnd: asked.GetLimit().GetBackEnd(), Limit: answer.Limit}), NotKept: !kept,
	}
}

// longestWait bounds the wait that another process can ask for.
const longestWait = 10 * time.Second

// answerFromWire reads an answer; false for one that is none.
func answerFromWire(told *v1.LimitAnswer) (fleetlimit.PermitResponse, bool) {
	named, valid := fleetlimit.FromWire(told.GetLimit())
	wait := time.Duration(min(told.GetWaitUs(), uint64(longestWait.Microseconds()))) * time.Microsecond
	return fleetlimit.PermitResponse{Granted: told.GetGranted(), Wait: wait, Limit: named.Limit}, valid && !told.GetNotKept()
}
