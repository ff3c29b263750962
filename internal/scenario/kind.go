package scenario

import "time"

// Kind is one kind of request: what it is worth, how large it is, when it arrives.
type Kind struct {
	Name string `yaml:"name" check:"required"`
	// Service that answers it. Required.
	Service string `yaml:"service" check:"required"`
	// Worth of one request completed within its deadline. Required.
	Worth float64 `yaml:"worth" check:"required,positive"`
	// Deadline from the arrival to the last token; 0 is none.
	Deadline time.Duration `yaml:"deadline" default:"0s" check:"not-negative"`
	// Priority: larger goes first.
	Priority int `yaml:"priority" default:"0" check:"not-negative"`
	// PromptTokens and OutputTokens are drawn for each request. Required.
	PromptTokens Distribution `yaml:"prompt_tokens"`
	OutputTokens Distribution `yaml:"output_tokens"`
	// Prefix is the part of the prompt that requests share.
	Prefix Prefix `yaml:"prefix"`
	// Arrivals: when requests come. A kind with rate 0 comes from the trace alone.
	Arrivals Arrivals `yaml:"arrivals"`
	// Mix is how the rate changes over time: the factors of all shapes multiply.
	Mix []Shape `yaml:"mix"`
}

// Prefix tells how prompts of one kind and tenant begin alike, as dossiers do.
type Prefix struct {
	// Subjects is the number of different beginnings; 0 is no shared beginning.
	Subjects int `yaml:"subjects" default:"0" check:"not-negative"`
	// Share of a prompt's tokens that belong to the beginning, 0 to 1.
	Share float64 `yaml:"share" default:"0" check:"share"`
	// Skew of the subjects' popularity: subject i is asked for in proportion to 1/i^skew.
	Skew float64 `yaml:"skew" default:"0" check:"not-negative"`
}

// ArrivalProcess is the law of the times between arrivals.
type ArrivalProcess string

// Arrival processes.
const (
	// ProcessPoisson draws independent arrivals.
	ProcessPoisson ArrivalProcess = "poisson"
	// ProcessConstant spaces arrivals evenly.
	ProcessConstant ArrivalProcess = "constant"
	// ProcessBursts draws groups of BurstSize requests that arrive at one time.
	ProcessBursts ArrivalProcess = "bursts"
)

// Arrivals is when requests of a kind come.
type Arrivals struct {
	Process ArrivalProcess `yaml:"process" default:"poisson" check:"one-of=poisson|constant|bursts"`
	// Rate is the number of requests a second before the mix, over all zones.
	Rate float64 `yaml:"rate" default:"0" check:"not-negative"`
	// BurstSize is the mean size of a burst; for process bursts alone.
	BurstSize float64 `yaml:"burst_size" default:"1" check:"at-least-1"`
}
