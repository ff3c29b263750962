package servedversions

import (
	"cmp"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Version is one version of the software of a service's back ends.
type Version struct {
	Service string
	// Software is empty if the list of back ends does not name the version.
	Software string
}

// VersionOf returns the version of a listed back end.
func VersionOf(backEnd *v1.ListedBackEnd) Version {
	return Version{Service: backEnd.GetService(), Software: backEnd.GetSoftware()}
}

func versionFromWire(version *v1.ServedVersion) Version {
	return Version{Service: version.GetService(), Software: version.GetSoftware()}
}

func compareVersions(a, b Version) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
}
