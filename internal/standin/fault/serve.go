package fault

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Serve answers hazelbench's requests about a stand-in's faults: GET returns those that
// can still strike, PUT replaces them with those of its body.
func (s *Set) Serve(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPut() {
		text, err := json.Marshal(s.Remaining())
		if err != nil { // the type always marshals
			panic(err)
		}
		ctx.Response.Header.SetContentType("application/json")
		ctx.Response.SetBody(text)
		return
	}
	var faults []Fault
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error("a list of faults is wanted: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	for _, wanted := range faults {
		if err := wanted.check(); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
	}
	s.Replace(faults)
}
