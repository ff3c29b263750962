package load

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/standin/page"
)

// readRefusal records the code and message of an error body.
func (r *Result) readRefusal(body io.Reader) {
	r.Outcome = Refused
	text, err := io.ReadAll(body)
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
	text, err := io.ReadAll(body)
	r.FirstByte = time.Since(due)
	want := page.Page(req.path)
	if req.method != fasthttp.MethodGet {
		want = page.Receipt(req.path, req.key, req.body)
	}
	switch {
	case err != nil:
		r.Outcome, r.Detail = Cut, err.Error()
	case string(text) != want:
		r.Outcome, r.Detail = Mixed, fmt.Sprintf("%d bytes instead of %d", len(text), len(want))
	default:
		r.Outcome = Completed
	}
}
