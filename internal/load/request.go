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

// request is one request ready to be sent.
type request struct {
	arrival arrival
	kind    string
	tenant  int
	// zone of the gateway to call; empty takes all gateways in turn.
	zone   string
	method string
	path   string
	body   []byte
	chat   bool
	resend bool
	// detour is how many gateways further than its own the request goes.
	detour   int
	deadline time.Duration
	// What the answer must be.
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

// maker builds the requests of a run, each from its number alone.
type maker struct {
	traffic  Traffic
	kinds    map[string]Kind
	tenants  int
	seed     uint64
	prompts  *prompts
	runLabel string
}

// newMaker returns the maker of a run; its prompts and keys are the run's own.
func newMaker(options Options, traffic Traffic, kinds map[string]Kind, began time.Time) *maker {
	label := runLabel(options.Seed, began)
	return &maker{
		traffic: traffic, kinds: kinds, tenants: len(options.Target.Keys), seed: options.Seed,
		prompts: newPrompts(label), runLabel: fmt.Sprintf("run-%x", label),
	}
}

// runLabel differs between runs, also of the same seed.
func runLabel(seed uint64, began time.Time) uint64 { return seed ^ uint64(began.UnixNano()) }

func (m *maker) make(of arrival) request {
	wanted := m.traffic.Requests[of.kind]
	source := rand.New(rand.NewPCG(m.seed, uint64(of.number)+1<<32))
	made := request{arrival: of, kind: wanted.Kind, tenant: source.IntN(max(1, m.tenants)), deadline: m.kinds[wanted.Kind].Deadline}
	if wanted.Chat != nil {
		m.chat(&made, *wanted.Chat, source)
	} else {
		m.page(&made, *wanted.Page, source)
	}
	return made
}

func (m *maker) chat(made *request, chat ChatTraffic, source *rand.Rand) {
	tokens := chat.PromptTokens.draw(source)
	outputTokens := chat.OutputTokens.draw(source)
	dossier, shared := "", 0
	if chat.Dossiers > 0 {
		dossier = fmt.Sprintf("%s-%d", made.kind, source.IntN(chat.Dossiers))
		shared = int(float64(tokens) * chat.SharedShare)
	}
	made.chatBody(chat.Model, m.prompts.text(dossier, shared, made.arrival.number, tokens), outputTokens)
}

// chatBody makes the request a streamed chat and notes what its answer must be.
func (r *request) chatBody(model, content string, outputTokens int) {
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
	if err != nil { // the shape always marshals
		panic(err)
	}
	r.body = body
}

func (m *maker) page(made *request, page PageTraffic, source *rand.Rand) {
	made.method, made.path = page.Method, page.Path
	if page.Method == "GET" {
		made.path = fmt.Sprintf("%s?n=%d", page.Path, made.arrival.number)
	}
	if page.BodyBytes > 0 {
		made.body = []byte(strings.Repeat("x", page.BodyBytes))
	}
	if page.Once {
		made.key = fmt.Sprintf("%s-%d", m.runLabel, made.arrival.number)
		made.resend = source.Float64() < page.ResendShare
	}
}

func (r Range) draw(source *rand.Rand) int { return r.Low + source.IntN(r.High-r.Low+1) }
