package load

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/yamlfile"
)

// TrafficFile is the file name of a deployment's traffic description.
const TrafficFile = "load.yaml"

// Traffic describes what callers send to a deployment.
type Traffic struct {
	Requests []RequestKind `yaml:"requests" check:"required"`
}

// RequestKind describes the traffic of one kind of request; worth and deadline come from the
// deployment's declarations.
type RequestKind struct {
	Kind string `yaml:"kind" check:"required"`
	// Rate is the mean number of arrivals per second.
	Rate float64 `yaml:"rate" check:"not-negative"`
	// Swing varies the rate periodically.
	Swing Swing `yaml:"swing"`
	// Exactly one of Chat and Page is set: Chat for requests to engines, Page for all others.
	Chat *ChatTraffic `yaml:"chat"`
	Page *PageTraffic `yaml:"page"`
}

// Swing is a periodic variation of a rate: rate × (1 + amplitude × sin(2π(t/period + phase))).
type Swing struct {
	Amplitude float64       `yaml:"amplitude" check:"share"`
	Period    time.Duration `yaml:"period" check:"not-negative"`
	Phase     float64       `yaml:"phase"`
}

// ChatTraffic describes the prompts and outputs of chat requests.
type ChatTraffic struct {
	Model        string `yaml:"model" check:"required"`
	PromptTokens Range  `yaml:"prompt_tokens"`
	OutputTokens Range  `yaml:"output_tokens"`
	// Dossiers is the number of different shared texts; each prompt has SharedShare of its
	// tokens as a prefix in common with the others of its dossier.
	Dossiers    int     `yaml:"dossiers" check:"not-negative"`
	SharedShare float64 `yaml:"shared_share" check:"share"`
}

// PageTraffic describes requests to page services.
type PageTraffic struct {
	Method string `yaml:"method" check:"required,one-of=GET|POST|PUT|DELETE"`
	Path   string `yaml:"path" check:"required"`
	// BodyBytes is the size of a request's body.
	BodyBytes int `yaml:"body_bytes" check:"not-negative"`
	// Once gives each request an idempotency key: it may run at most once.
	Once bool `yaml:"once"`
	// ResendShare is the share of requests with a key that the caller sends twice.
	ResendShare float64 `yaml:"resend_share" check:"share"`
}

// Range is an inclusive range with a uniform distribution.
type Range struct {
	Low  int `yaml:"low"`
	High int `yaml:"high"`
}

// LoadTraffic reads and checks a deployment's traffic. If the file is invalid, the error
// holds yamlfile.Problems with file, line, key and remedy.
func LoadTraffic(directory string) (Traffic, error) {
	path := filepath.Join(directory, TrafficFile)
	if _, err := os.Stat(path); err != nil {
		return Traffic{}, trace.BadParameter("can't read the traffic: %v; --deployment names a directory such as deploy/rawabi", err)
	}
	var traffic Traffic
	err := yamlfile.Load(yamlfile.Source{Path: path, CrossCheck: func(document *yamlfile.Document) {
		for index, request := range traffic.Requests {
			request.check(document, fmt.Sprintf("requests[%d]", index))
		}
	}}, &traffic)
	return traffic, trace.Wrap(err)
}

// scaleAtMostOnce multiplies the rates of kinds that run at most once; a scale of 0 changes nothing.
func (t Traffic) scaleAtMostOnce(scale float64) Traffic {
	if scale == 0 {
		return t
	}
	scaled := Traffic{Requests: slices.Clone(t.Requests)}
	for index := range scaled.Requests {
		if page := scaled.Requests[index].Page; page != nil && page.Once {
			scaled.Requests[index].Rate *= scale
		}
	}
	return scaled
}

// check reports keys of a kind that are invalid in combination.
func (r RequestKind) check(document *yamlfile.Document, key string) {
	if (r.Chat == nil) == (r.Page == nil) {
		document.Report(key, "is neither chat nor page, or both", "give either chat or page")
	}
	if r.Swing.Amplitude > 0 && r.Swing.Period <= 0 {
		document.Report(key+".swing.period", "is missing; a swing with an amplitude needs it", "set it above 0, such as 40s")
	}
	if r.Chat != nil {
		r.Chat.PromptTokens.check(document, key+".chat.prompt_tokens")
		r.Chat.OutputTokens.check(document, key+".chat.output_tokens")
	}
}

func (r Range) check(document *yamlfile.Document, key string) {
	if r.Low < 1 || r.Low > r.High {
		document.Report(key, fmt.Sprintf("%d to %d is no range of tokens", r.Low, r.High), "write 1 <= low <= high")
	}
}
