package engine

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/hazelpitch/hazelpitch/internal/enginecontract"
	"github.com/hazelpitch/hazelpitch/internal/standin/fault"
)

// kvFetchTimeout limits the fetch of another engine's KV cache.
const kvFetchTimeout = 2 * time.Second

// kvHandle is a KV cache that another engine can fetch.
type kvHandle struct {
	salt    string
	cache   kvCache
	expires time.Duration
}

// kvCache is sent in place of the bytes of a KV cache; the engine model accounts for the transfer time.
type kvCache struct {
	Prompt       string `json:"prompt"`
	PromptTokens int    `json:"prompt_tokens"`
	Bytes        int64  `json:"bytes"`
}

// exportKV stores the KV cache of a prefilled prompt under a new handle. The caller holds the mutex.
func (p *process) exportKV(prefilled *exchange) enginecontract.PrefillAnswer {
	name := make([]byte, 16)
	_, _ = rand.Read(name) // it never fails
	handle := hex.EncodeToString(name)
	bytes := int64(prefilled.promptTokens) * p.engine.config.Profile.KVBytesPerToken
	stored := &kvHandle{
		salt:    prefilled.salt,
		cache:   kvCache{Prompt: PromptKey(prefilled.prompt), PromptTokens: prefilled.promptTokens, Bytes: bytes},
		expires: p.now() + KVHandleLifetime,
	}
	if _, strikes := p.strikeFault(fault.ForeignHandle); strikes {
		stored.salt += "-of-another"
	}
	if _, strikes := p.strikeFault(fault.LoseHandle); !strikes {
		p.handles[handle] = stored
	}
	return enginecontract.PrefillAnswer{
		Exchange: prefilled.id, KVHandle: handle, KVBytes: bytes, PromptTokens: prefilled.promptTokens, CachedTokens: prefilled.cachedTokens,
	}
}

// serveKV answers GET /v1/kv/{handle}. A handle can be fetched once.
func (p *process) serveKV(ctx *fasthttp.RequestCtx, name string) {
	p.lockThawed()
	defer p.mutex.Unlock()
	handle := p.handles[name]
	if _, strikes := p.strikeFault(fault.FailExport); strikes {
		mayHaveRun(fasthttp.StatusInternalServerError, "engine_error", "failed on demand").write(&ctx.Response)
		return
	}
	switch {
	case handle == nil:
		notRun(fasthttp.StatusNotFound, "kv_unknown", "no KV cache has this handle").write(&ctx.Response)
	case handle.salt != header(&ctx.Request, enginecontract.HeaderCacheSalt):
		notRun(fasthttp.StatusForbidden, "kv_forbidden", "the handle belongs to another cache salt").write(&ctx.Response)
	default:
		delete(p.handles, name)
		writeJSON(&ctx.Response, handle.cache)
		p.wakeDriver()
	}
}

// importKV fetches the KV cache that a request names and checks that it is of the same prompt.
func (p *process) importKV(request parsedRequest) error {
	call, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(answer)
	call.SetRequestURI("http://" + request.kvSource + enginecontract.PathKV + request.kvHandle)
	call.Header.Set(enginecontract.HeaderCacheSalt, request.salt)
	if err := p.client.DoTimeout(call, answer, kvFetchTimeout); err != nil {
		return trace.Wrap(err, "fetching the KV cache from %s", request.kvSource)
	}
	if answer.StatusCode() != fasthttp.StatusOK {
		return trace.BadParameter("%s answered status %d to the fetch of the KV cache", request.kvSource, answer.StatusCode())
	}
	var cache kvCache
	if err := json.Unmarshal(answer.Body(), &cache); err != nil {
		return trace.Wrap(err)
	}
	if cache.Prompt != PromptKey(request.hash) {
		return trace.BadParameter("the KV cache is another prompt's")
	}
	p.engine.runs.count(0, func(_ *Run, totals *Totals) { totals.Imported++ })
	return nil
}
