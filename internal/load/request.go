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
	arrival  arrival
	kind     string
	tenant   int
	method   string
	path     string
	body     []byte
	chat     bool
	resend   bool
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
	label := options.Seed ^ uint64(began.UnixNano())
	return &maker{
		traffic: traffic, kinds: kinds, tenants: len(options.Target.Keys), seed: options.Seed,
		prompts: newPrompts(label), runLabel: fmt.Sprintf("run-%x", label),
	}
}

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
	made.outputTokens = chat.OutputTokens.draw(source)
	content := m.prompts.text(made.kind, chat, made.arrival.number, tokens, source)
	prompt := answertext.Prompt([]answertext.Message{{Role: "user", Content: content}})
	made.chat = true
	made.method, made.path = "POST", "/v1/chat/completions"
	made.promptHash = answertext.Hash(prompt)
	made.promptKey = engine.PromptKey(made.promptHash)
	made.promptTokens = answertext.PromptTokens(prompt)
	body, err := json.Marshal(chatBody{
		Model: chat.Model, Messages: []chatMessage{{Role: "user", Content: content}},
		MaxTokens: made.outputTokens, Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil { // the shape always marshals
		panic(err)
	}
	made.body = body
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
