package language

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

const (
	viewer        = v1.OperatorRole_OPERATOR_ROLE_VIEWER
	operator      = v1.OperatorRole_OPERATOR_ROLE_OPERATOR
	administrator = v1.OperatorRole_OPERATOR_ROLE_ADMINISTRATOR
)

// RequiredRole returns viewer.
func (Show) RequiredRole() v1.OperatorRole { return viewer }

// RequiredRole returns viewer.
func (Explain) RequiredRole() v1.OperatorRole { return viewer }

// RequiredRole returns viewer.
func (History) RequiredRole() v1.OperatorRole { return viewer }

// RequiredRole returns operator.
func (DrainEngine) RequiredRole() v1.OperatorRole { return operator }

// RequiredRole returns operator.
func (ResumeEngine) RequiredRole() v1.OperatorRole { return operator }

// RequiredRole returns operator.
func (SetEngineRole) RequiredRole() v1.OperatorRole { return operator }

// RequiredRole returns operator.
func (PinEngine) RequiredRole() v1.OperatorRole { return operator }

// RequiredRole returns operator.
func (UnpinEngine) RequiredRole() v1.OperatorRole { return operator }

// RequiredRole returns operator.
func (AbortOrder) RequiredRole() v1.OperatorRole { return operator }

// RequiredRole returns operator.
func (ReleaseRequest) RequiredRole() v1.OperatorRole { return operator }

// RequiredRole returns administrator.
func (DeleteObject) RequiredRole() v1.OperatorRole { return administrator }

// RequiredRole returns administrator.
func (AddMember) RequiredRole() v1.OperatorRole { return administrator }

// RequiredRole returns administrator.
func (PromoteMember) RequiredRole() v1.OperatorRole { return administrator }

// RequiredRole returns administrator.
func (RemoveMember) RequiredRole() v1.OperatorRole { return administrator }

// RequiredRole returns administrator.
func (ReplaceMember) RequiredRole() v1.OperatorRole { return administrator }

// RequiredRole returns operator.
func (DumpLogs) RequiredRole() v1.OperatorRole { return operator }

// RequiredRoleToApply returns the lowest role that may submit these objects: operator, or administrator
// if they include operators or if prune might delete some.
func RequiredRoleToApply(objects []*v1.Object, prune bool) v1.OperatorRole {
	if prune {
		return administrator
	}
	for _, object := range objects {
		if object.GetKey().GetType() == v1.ObjectType_OBJECT_TYPE_OPERATOR {
			return administrator
		}
	}
	return operator
}

// RoleAllows reports whether an operator with role actual may do what requires role required.
func RoleAllows(actual, required v1.OperatorRole) bool {
	return actual != v1.OperatorRole_OPERATOR_ROLE_UNSPECIFIED && actual >= required
}

func (Show) isStatement()           {}
func (Explain) isStatement()        {}
func (History) isStatement()        {}
func (DrainEngine) isStatement()    {}
func (ResumeEngine) isStatement()   {}
func (SetEngineRole) isStatement()  {}
func (PinEngine) isStatement()      {}
func (UnpinEngine) isStatement()    {}
func (AbortOrder) isStatement()     {}
func (ReleaseRequest) isStatement() {}
func (DeleteObject) isStatement()   {}
func (AddMember) isStatement()      {}
func (PromoteMember) isStatement()  {}
func (RemoveMember) isStatement()   {}
func (ReplaceMember) isStatement()  {}
func (DumpLogs) isStatement()       {}

func (Show) isQuery()    {}
func (Explain) isQuery() {}
func (History) isQuery() {}

func (DrainEngine) isCommand()    {}
func (ResumeEngine) isCommand()   {}
func (SetEngineRole) isCommand()  {}
func (PinEngine) isCommand()      {}
func (UnpinEngine) isCommand()    {}
func (AbortOrder) isCommand()     {}
func (ReleaseRequest) isCommand() {}
func (DeleteObject) isCommand()   {}
func (AddMember) isCommand()      {}
func (PromoteMember) isCommand()  {}
func (RemoveMember) isCommand()   {}
func (ReplaceMember) isCommand()  {}
func (DumpLogs) isCommand()       {}
