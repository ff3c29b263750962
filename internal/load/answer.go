package load

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/standin/page"
)

// maxRefusalBytes bounds what is read of the body of an error.
const maxRefusalBytes = 64 << 10

// readRefusal records the code and message of an error body.
func (r *Result) readRefusal(body io.Reader) {
	r.Outcome = Refused
	text, err := io.ReadAll(io.LimitReader(body, maxRefusalBytes))
	if err != nil {
		r.Detail = err.Error()
	}
	var problem struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(text, &problem) == nil {
		r.Code, r.Detail = problem.Error.Code, problem.Error.Message
	}
}

// checkPage compares a page or receipt with the one that belongs to the request.
func (r *Result) checkPage(req request, body io.Reader, due time.Time) {
	want := page.Page(req.path)
	if req.method != fasthttp.MethodGet {
		want = page.Receipt(req.path, req.key, req.body)
	}
	text, err := io.ReadAll(io.LimitReader(body, int64(len(want))+1)) // a longer one is not the expected one
	r.FirstByte = time.Since(due)
	switch {
	case err != nil:
		r.Outcome, r.Detail = Cut, err.Error()
	case string(text) != want:
		r.Outcome, r.Detail = Mixed, fmt.Sprintf("%d bytes instead of %d", len(text), len(want))
	default:
		r.Outcome = Completed
	}
}
