package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hazelpitch/hazelpitch/internal/standin/answertext"
	"github.com/hazelpitch/hazelpitch/internal/standin/engine"
)

// request is one request, ready to be sent.
type request struct {
	arrival arrival
	kind    string
	tenant  int
	// zone of the gateway to call; empty uses all gateways in turn.
	zone   string
	method string
	path   string
	body   []byte
	chat   bool
	resend bool
	// gatewayOffset is how many gateways after the gateway of the first attempt a resend goes to.
	gatewayOffset int
	deadline      time.Duration
	// The following fields describe the expected answer.
	promptHash   uint64
	promptKey    string
	promptTokens int
	outputTokens int
	key          string
}

type chatBody struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	MaxTokens     int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// requestBuilder builds the requests of a run. Apart from the run's label, a request depends only on the seed and its
// arrival.
type requestBuilder struct {
	traffic  Traffic
	kinds    map[string]Kind
	tenants  int
	seed     uint64
	prompts  *promptBuilder
	runLabel string
}

// newRequestBuilder returns the builder of a run; its prompts and keys are unique to the run.
func newRequestBuilder(options Options, traffic Traffic, kinds map[string]Kind, began time.Time) *requestBuilder {
	label := runLabel(options.Seed, began)
	return &requestBuilder{
		traffic: traffic, kinds: kinds, tenants: len(options.Target.Keys), seed: options.Seed,
		prompts: newPromptBuilder(label), runLabel: fmt.Sprintf("run-%x", label),
	}
}

// runLabel returns a label that differs between runs, even with equal seeds.
func runLabel(seed uint64, began time.Time) uint64 { return seed ^ uint64(began.UnixNano()) }

func (m *requestBuilder) make(due arrival) request {
	description := m.traffic.Requests[due.kind]
	source := rand.New(rand.NewPCG(m.seed, uint64(due.index)+1<<32))
	built := request{arrival: due, kind: description.Kind, tenant: source.IntN(max(1, m.tenants)), deadline: m.kinds[description.Kind].Deadline}
	if description.Chat != nil {
		m.buildChat(&built, *description.Chat, source)
	} else {
		m.buildPage(&built, *description.Page, source)
	}
	return built
}

func (m *requestBuilder) buildChat(built *request, chat ChatTraffic, source *rand.Rand) {
	tokens := chat.PromptTokens.draw(source)
	outputTokens := chat.OutputTokens.draw(source)
	dossier, shared := "", 0
	if chat.Dossiers > 0 {
		dossier = fmt.Sprintf("%s-%d", built.kind, source.IntN(chat.Dossiers))
		shared = int(float64(tokens) * chat.SharedShare)
	}
	built.setChat(chat.Model, m.prompts.text(dossier, shared, built.arrival.index, tokens), outputTokens)
}

// setChat makes the request a streamed chat and records the expected answer.
func (r *request) setChat(model, content string, outputTokens int) {
	prompt := answertext.Prompt([]answertext.Message{{Role: "user", Content: content}})
	r.chat = true
	r.method, r.path = "POST", "/v1/chat/completions"
	r.outputTokens = outputTokens
	r.promptHash = answertext.Hash(prompt)
	r.promptKey = engine.PromptKey(r.promptHash)
	r.promptTokens = answertext.PromptTokens(prompt)
	body, err := json.Marshal(chatBody{
		Model: model, Messages: []chatMessage{{Role: "user", Content: content}},
		MaxTokens: outputTokens, Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil { // the type always marshals
		panic(err)
	}
	r.body = body
}

func (m *requestBuilder) buildPage(built *request, page PageTraffic, source *rand.Rand) {
	built.method, built.path = page.Method, page.Path
	if page.Method == "GET" {
		built.path = fmt.Sprintf("%s?n=%d", page.Path, built.arrival.index)
	}
	if page.BodyBytes > 0 {
		built.body = []byte(strings.Repeat("x", page.BodyBytes))
	}
	if page.Once {
		built.key = fmt.Sprintf("%s-%d", m.runLabel, built.arrival.index)
		built.resend = source.Float64() < page.ResendShare
	}
}

func (r Range) draw(source *rand.Rand) int { return r.Low + source.IntN(r.High-r.Low+1) }
