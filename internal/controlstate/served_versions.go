package controlstate

import v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"

// ServedVersions returns the software versions that may have begun streams, as recorded last; nil before the first record. Callers
// must not change them.
func (s *State) ServedVersions() *v1.ServedVersions { return s.servedVersions }

// AreServedVersionsKept reports whether every leader up to a term has recorded the versions that it listed: no leader of a former
// build, which records none, has led since the last record. Before the first entry of any leader, nobody has listed a version.
func (s *State) AreServedVersionsKept(term uint64) bool { return s.servedVersions.GetTerm() >= term }

// RecordServedVersions returns the command that records the versions. Builds that do not know them apply its body, which expires no
// claims.
func RecordServedVersions(versions *v1.ServedVersions) *v1.Command {
	return &v1.Command{ServedVersions: versions, Body: &v1.Command_ExpireClaims{ExpireClaims: &v1.ExpireClaims{}}}
}

// applyServedVersions records the versions that a command carries, unless a leader of a later term has recorded some.
func (s *State) applyServedVersions(command *v1.Command) {
	recorded := command.GetServedVersions()
	if recorded != nil && recorded.GetTerm() >= s.servedVersions.GetTerm() {
		s.servedVersions = recorded
	}
}
