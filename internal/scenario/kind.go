package scenario

import "time"

// Kind is a kind of request: its worth, size and arrivals.
type Kind struct {
	Name string `yaml:"name" check:"required"`
	// Service that serves the kind. Required.
	Service string `yaml:"service" check:"required"`
	// Worth of one request that completes within its deadline. Required.
	Worth float64 `yaml:"worth" check:"required,positive"`
	// Deadline is the time from arrival to last token; 0 is no deadline.
	Deadline time.Duration `yaml:"deadline" default:"0s" check:"not-negative"`
	// Priority of the kind; larger values are served first.
	Priority int `yaml:"priority" default:"0" check:"not-negative"`
	// PromptTokens and OutputTokens are drawn for each request. Required.
	PromptTokens Distribution `yaml:"prompt_tokens"`
	OutputTokens Distribution `yaml:"output_tokens"`
	// Prefix defines the prompt prefix that requests share.
	Prefix Prefix `yaml:"prefix"`
	// Arrivals define when requests arrive. A kind with rate 0 has arrivals from the trace only.
	Arrivals Arrivals `yaml:"arrivals"`
	// Mix changes the rate over time; the factors of all shapes are multiplied.
	Mix []Shape `yaml:"mix"`
}

// Prefix defines the shared prompt prefixes of one kind and tenant, such as dossiers.
type Prefix struct {
	// Subjects is the number of different prefixes; with 0 no prefix is shared.
	Subjects int `yaml:"subjects" default:"0" check:"not-negative"`
	// Share of a prompt's tokens that belong to the prefix, 0 to 1.
	Share float64 `yaml:"share" default:"0" check:"share"`
	// Skew of the subjects' popularity: the frequency of subject i is proportional to 1/i^skew.
	Skew float64 `yaml:"skew" default:"0" check:"not-negative"`
}

// ArrivalProcess is the stochastic process of the arrivals.
type ArrivalProcess string

// Arrival processes.
const (
	// ProcessPoisson has independent arrivals.
	ProcessPoisson ArrivalProcess = "poisson"
	// ProcessConstant has evenly spaced arrivals.
	ProcessConstant ArrivalProcess = "constant"
	// ProcessBursts has bursts of simultaneous arrivals, BurstSize on average.
	ProcessBursts ArrivalProcess = "bursts"
)

// Arrivals defines when requests of a kind arrive.
type Arrivals struct {
	Process ArrivalProcess `yaml:"process" default:"poisson" check:"one-of=poisson|constant|bursts"`
	// Rate is the arrivals per second over all zones, before the mix is applied.
	Rate float64 `yaml:"rate" default:"0" check:"not-negative"`
	// BurstSize is the mean size of a burst; only for process bursts.
	BurstSize float64 `yaml:"burst_size" default:"1" check:"at-least-1"`
}
