package scenario

// Law is the probability distribution of a Distribution.
type Law string

// Laws of token counts and their parameters.
const (
	LawFixed       Law = "fixed"       // value
	LawUniform     Law = "uniform"     // low to high, inclusive
	LawNormal      Law = "normal"      // mean, deviation
	LawLogNormal   Law = "lognormal"   // mean, deviation (of the tokens, not of their logarithm)
	LawExponential Law = "exponential" // mean
)

// Distribution is the distribution of the tokens of a prompt or output. Every sample is
// rounded, clamped to Low and High where they are set, and at least 1.
type Distribution struct {
	Law Law `yaml:"law" default:"fixed" check:"one-of=fixed|uniform|normal|lognormal|exponential"`
	// Value is the constant of law fixed.
	Value int `yaml:"value" check:"positive"`
	// Mean of the laws normal, lognormal and exponential, in tokens.
	Mean float64 `yaml:"mean" check:"positive"`
	// Deviation is the standard deviation of the laws normal and lognormal.
	Deviation float64 `yaml:"deviation" check:"positive"`
	// Low and High limit each sample; for law uniform they are the ends of the range.
	Low  int `yaml:"low" check:"positive"`
	High int `yaml:"high" check:"positive"`
}
