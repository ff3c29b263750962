package forwarding

import (
	"strconv"

	"github.com/gravitational/trace"

	"github.com/hazelpitch/hazelpitch/internal/streamorigin"
)

// Names of the headers of forwarded requests and of their answers. A relay honours
// them only on connections from other relays, and removes them there before the request reaches a back end.
const (
	HeaderService       = "Hazelpitch-Forward-Service"
	HeaderConfiguration = "Hazelpitch-Forward-Configuration"
	HeaderTenant        = "Hazelpitch-Forward-Tenant"
	// HeaderAttempts is also set in refusals, for the attempts until then.
	HeaderAttempts   = "Hazelpitch-Forward-Attempts"
	HeaderMayHaveRun = "Hazelpitch-Forward-May-Have-Run"
	// HeaderVersion is absent for a stream that is bound to no software version.
	HeaderVersion = "Hazelpitch-Forward-Version"
	// HeaderRefusal marks an answer that the other relay itself has made; its value is a Refusal.
	HeaderRefusal = "Hazelpitch-Forward-Refusal"
)

// Headers are the names of all headers of this package.
var Headers = []string{HeaderService, HeaderConfiguration, HeaderTenant, HeaderAttempts, HeaderMayHaveRun, HeaderVersion, HeaderRefusal}

// Progress is what the first relay has already done and decided for a request.
type Progress struct {
	// Service is the service that was selected among those of the route.
	Service string
	// Configuration is the number of the configuration that admitted the request.
	Configuration uint64
	// Tenant is the name of the tenant whose key was checked; empty for an anonymous client.
	Tenant string
	// Attempts counts the attempts that reached a back end.
	Attempts int
	// MayHaveRun is true if one of them may have run the request, or may still be running it.
	MayHaveRun bool
	// Version is the software version at which alone the stream may go on.
	Version streamorigin.Version
}

// Header is one header of a request.
type Header struct{ Name, Value string }

// ToHeaders encodes the progress.
func (p Progress) ToHeaders() []Header {
	headers := []Header{
		{HeaderService, p.Service}, {HeaderConfiguration, strconv.FormatUint(p.Configuration, 10)}, {HeaderTenant, p.Tenant},
		{HeaderAttempts, strconv.Itoa(p.Attempts)}, {HeaderMayHaveRun, strconv.FormatBool(p.MayHaveRun)},
	}
	if p.Version != streamorigin.None {
		headers = append(headers, Header{HeaderVersion, strconv.FormatUint(uint64(p.Version), versionBase)})
	}
	return headers
}

// versionBase is the base in which HeaderVersion is written.
const versionBase = 16

// ProgressFrom decodes the progress from the headers of a request; value returns the value of a header. It returns a
// trace.BadParameter error if a header is missing or malformed.
func ProgressFrom(value func(name string) string) (Progress, error) {
	configuration, configurationErr := strconv.ParseUint(value(HeaderConfiguration), 10, 64)
	attempts, attemptsErr := strconv.Atoi(value(HeaderAttempts))
	mayHaveRun, mayHaveRunErr := strconv.ParseBool(value(HeaderMayHaveRun))
	service := value(HeaderService)
	version, versionErr := uint64(streamorigin.None), error(nil)
	if text := value(HeaderVersion); text != "" {
		version, versionErr = strconv.ParseUint(text, versionBase, 64)
	}
	if configurationErr != nil || attemptsErr != nil || mayHaveRunErr != nil || versionErr != nil || attempts < 0 || service == "" {
		return Progress{}, trace.BadParameter("the headers of a forwarded request are missing or malformed")
	}
	return Progress{
		Service: service, Configuration: configuration, Tenant: value(HeaderTenant), Attempts: attempts, MayHaveRun: mayHaveRun,
		Version: streamorigin.Version(version),
	}, nil
}

// Refusal says what an answer that the other relay itself has made means for the request.
type Refusal string

// Refusals.
const (
	// NoRefusal: a back end has made the answer.
	NoRefusal Refusal = ""
	// Unable: the other relay cannot serve the request, but a third one may. It has sent it to no back end.
	Unable Refusal = "unable"
	// NotRun: no back end can take the request now. It was not run, and will not be.
	NotRun Refusal = "not-run"
	// MayHaveRun: a back end may have run the request, or may still be running it.
	MayHaveRun Refusal = "may-have-run"
)

// ParseRefusal returns the refusal that an answer's header states. A value that is not known says nothing about the request.
func ParseRefusal(value string) Refusal {
	switch refusal := Refusal(value); refusal {
	case NoRefusal, Unable, NotRun:
		return refusal
	default:
		return MayHaveRun
	}
}
