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

// kvFetchTimeout bounds the fetch of another engine's KV cache.
const kvFetchTimeout = 2 * time.Second

// kvHandle is a KV cache kept for export.
type kvHandle struct {
	salt    string
	cache   kvCache
	expires time.Duration
}

// kvCache stands for the bytes of a cache: the model accounts for their transfer.
type kvCache struct {
	Prompt       string `json:"prompt"`
	PromptTokens int    `json:"prompt_tokens"`
	Bytes        int64  `json:"bytes"`
}

// export keeps the cache of a prompt that was read. The mutex is held.
func (l *life) export(of *exchange) enginecontract.PrefillAnswer {
	name := make([]byte, 16)
	_, _ = rand.Read(name) // it never fails
	handle := hex.EncodeToString(name)
	bytes := int64(of.promptTokens) * l.engine.config.Profile.KVBytesPerToken
	kept := &kvHandle{
		salt:    of.salt,
		cache:   kvCache{Prompt: PromptKey(of.prompt), PromptTokens: of.promptTokens, Bytes: bytes},
		expires: l.now() + KVHandleLifetime,
	}
	if _, strikes := l.takeFault(fault.ForeignHandle); strikes {
		kept.salt += "-of-another"
	}
	if _, strikes := l.takeFault(fault.LoseHandle); !strikes {
		l.handles[handle] = kept
	}
	return enginecontract.PrefillAnswer{
		Exchange: of.id, KVHandle: handle, KVBytes: bytes, PromptTokens: of.promptTokens, CachedTokens: of.cached,
	}
}

// serveKV answers GET /v1/kv/{handle}. A handle is fetched once.
func (l *life) serveKV(ctx *fasthttp.RequestCtx, name string) {
	l.lockThawed()
	defer l.mutex.Unlock()
	handle := l.handles[name]
	if _, strikes := l.takeFault(fault.FailExport); strikes {
		mayHaveRun(fasthttp.StatusInternalServerError, "engine_error", "failed on demand").write(&ctx.Response)
		return
	}
	switch {
	case handle == nil:
		notRun(fasthttp.StatusNotFound, "kv_unknown", "no KV cache has this handle").write(&ctx.Response)
	case handle.salt != header(&ctx.Request, enginecontract.HeaderCacheSalt):
		notRun(fasthttp.StatusForbidden, "kv_forbidden", "the handle belongs to another cache salt").write(&ctx.Response)
	default:
		delete(l.handles, name)
		writeJSON(&ctx.Response, handle.cache)
		l.poke()
	}
}

// importKV fetches the cache that a request names and checks that it is its own.
func (l *life) importKV(request work) error {
	call, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(answer)
	call.SetRequestURI("http://" + request.kvSource + enginecontract.PathKV + request.kvHandle)
	call.Header.Set(enginecontract.HeaderCacheSalt, request.salt)
	if err := l.client.DoTimeout(call, answer, kvFetchTimeout); err != nil {
		return trace.Wrap(err, "fetching the KV cache from %s", request.kvSource)
	}
	if answer.StatusCode() != fasthttp.StatusOK {
		return trace.BadParameter("%s answered %d for the KV cache", request.kvSource, answer.StatusCode())
	}
	var cache kvCache
	if err := json.Unmarshal(answer.Body(), &cache); err != nil {
		return trace.Wrap(err)
	}
	if cache.Prompt != PromptKey(request.hash) {
		return trace.BadParameter("the KV cache is another prompt's")
	}
	l.engine.runs.count(0, func(_ *Run, totals *Totals) { totals.Imported++ })
	return nil
}
