package scenario

// Law is the law of a Distribution.
type Law string

// Laws of token counts.
const (
	LawFixed       Law = "fixed"       // value
	LawUniform     Law = "uniform"     // low to high, inclusive
	LawNormal      Law = "normal"      // mean, deviation
	LawLogNormal   Law = "lognormal"   // mean, deviation (of the tokens, not of their logarithm)
	LawExponential Law = "exponential" // mean
)

// Distribution is how many tokens a prompt or an output has. Every draw is rounded
// and held between Low and High, where they are set, and is at least 1.
type Distribution struct {
	Law Law `yaml:"law" default:"fixed" check:"one-of=fixed|uniform|normal|lognormal|exponential"`
	// Value of law fixed.
	Value int `yaml:"value" check:"positive"`
	// Mean of the laws normal, lognormal and exponential.
	Mean float64 `yaml:"mean" check:"positive"`
	// Deviation is the standard deviation of the laws normal and lognormal.
	Deviation float64 `yaml:"deviation" check:"positive"`
	// Low and High bound each draw; for law uniform they are its ends.
	Low  int `yaml:"low" check:"positive"`
	High int `yaml:"high" check:"positive"`
}
