package load

import (
	"bytes"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
)

// TrafficFile is the name of a deployment's traffic description.
const TrafficFile = "load.yaml"

// Traffic is what callers send to a deployment.
type Traffic struct {
	Requests []RequestKind `yaml:"requests"`
}

// RequestKind is the traffic of one kind of request; its worth and deadline come
// from the deployment's declarations.
type RequestKind struct {
	Kind string `yaml:"kind"`
	// Rate is the mean number of arrivals a second.
	Rate float64 `yaml:"rate"`
	// Swing makes the rate go up and down.
	Swing Swing `yaml:"swing"`
	// Chat is set for requests to engines, Page for all others.
	Chat *ChatTraffic `yaml:"chat"`
	Page *PageTraffic `yaml:"page"`
}

// Swing is a periodic change of a rate: rate × (1 + amplitude × sin(2π(t/period + phase))).
type Swing struct {
	Amplitude float64       `yaml:"amplitude"`
	Period    time.Duration `yaml:"period"`
	Phase     float64       `yaml:"phase"`
}

// ChatTraffic describes prompts and answers.
type ChatTraffic struct {
	Model        string `yaml:"model"`
	PromptTokens Range  `yaml:"prompt_tokens"`
	OutputTokens Range  `yaml:"output_tokens"`
	// Dossiers is the number of texts that prompts begin with; each prompt shares
	// SharedShare of its tokens with the others of its dossier.
	Dossiers    int     `yaml:"dossiers"`
	SharedShare float64 `yaml:"shared_share"`
}

// PageTraffic describes plain requests.
type PageTraffic struct {
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	// BodyBytes is the size of a request's body.
	BodyBytes int `yaml:"body_bytes"`
	// Once gives each request an idempotency key: it may run at most once.
	Once bool `yaml:"once"`
	// ResendShare is the share of those requests that the caller sends twice.
	ResendShare float64 `yaml:"resend_share"`
}

// Range is an inclusive range that values are drawn from evenly.
type Range struct {
	Low  int `yaml:"low"`
	High int `yaml:"high"`
}

// LoadTraffic reads and checks a deployment's traffic.
func LoadTraffic(directory string) (Traffic, error) {
	path := filepath.Join(directory, TrafficFile)
	text, err := os.ReadFile(path)
	if err != nil {
		return Traffic{}, trace.BadParameter("can't read the traffic: %v; --deployment names a directory such as deploy/rawabi", err)
	}
	var traffic Traffic
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(&traffic); err != nil {
		return Traffic{}, trace.BadParameter("%s: %v", path, err)
	}
	for _, request := range traffic.Requests {
		if err := request.check(); err != nil {
			return Traffic{}, trace.Wrap(err, path)
		}
	}
	return traffic, nil
}

func (r RequestKind) check() error {
	switch {
	case (r.Chat == nil) == (r.Page == nil):
		return trace.BadParameter("kind %q: give either chat or page", r.Kind)
	case r.Rate < 0 || r.Swing.Amplitude < 0 || r.Swing.Amplitude > 1:
		return trace.BadParameter("kind %q: rate must not be negative and amplitude from 0 to 1", r.Kind)
	case r.Swing.Amplitude > 0 && r.Swing.Period <= 0:
		return trace.BadParameter("kind %q: a swing needs a period above 0", r.Kind)
	case r.Chat != nil && (!r.Chat.PromptTokens.valid() || !r.Chat.OutputTokens.valid()):
		return trace.BadParameter("kind %q: prompt_tokens and output_tokens need 1 <= low <= high", r.Kind)
	}
	return nil
}

func (r Range) valid() bool { return r.Low >= 1 && r.Low <= r.High }
