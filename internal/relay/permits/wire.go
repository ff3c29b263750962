package permits

import (
	"time"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
	"github.com/hazelpitch/hazelpitch/internal/fleetlimit"
)

// requestToWire encodes a permit request.
func requestToWire(request fleetlimit.PermitRequest, number uint64) *v1.LimitAsk {
	return &v1.LimitAsk{
		Relay: request.RequesterID, Number: number, Limit: fleetlimit.ToWire(fleetlimit.BackEndLimit{BackEnd: request.BackEnd, Limit: request.Limit}),
		Heard: request.LimitFromBackEnd, Rank: uint32(request.Rank), Owed: request.MustResume,
	}
}

// requestFromWire decodes a permit request; it returns false for an invalid one.
func requestFromWire(request *v1.LimitAsk) (fleetlimit.PermitRequest, bool) {
	backEndLimit, valid := fleetlimit.FromWire(request.GetLimit())
	decoded := fleetlimit.PermitRequest{
		BackEnd: backEndLimit.BackEnd, Limit: backEndLimit.Limit, LimitFromBackEnd: request.GetHeard(), RequesterID: request.GetRelay(),
		Rank: int(min(request.GetRank(), fleetlimit.RankCount-1)), MustResume: request.GetOwed(),
	}
	return decoded, valid
}

// answerToWire encodes the answer to a permit request.
func answerToWire(request *v1.LimitAsk, answer fleetlimit.PermitResponse, isOwner bool) *v1.LimitAnswer {
	return &v1.LimitAnswer{
		Number: request.GetNumber(), Relay: request.GetRelay(), Granted: answer.Granted, WaitUs: uint64(max(answer.Wait.Microseconds(), 0)),
		Limit: fleetlimit.ToWire(fleetlimit.BackEndLimit{BackEnd: request.GetLimit().GetBackEnd(), Limit: answer.Limit}), NotKept: !isOwner,
	}
}

// maxWait bounds the wait that another process can impose with its answer.
const maxWait = 10 * time.Second

// answerFromWire decodes an answer; it returns false for one that is invalid or comes from a relay that does not own the
// limit.
func answerFromWire(wireAnswer *v1.LimitAnswer) (fleetlimit.PermitResponse, bool) {
	backEndLimit, valid := fleetlimit.FromWire(wireAnswer.GetLimit())
	wait := time.Duration(min(wireAnswer.GetWaitUs(), uint64(maxWait.Microseconds()))) * time.Microsecond
	return fleetlimit.PermitResponse{Granted: wireAnswer.GetGranted(), Wait: wait, Limit: backEndLimit.Limit}, valid && !wireAnswer.GetNotKept()
}
