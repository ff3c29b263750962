package language

import (
	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// Statement is one query or command. ParseStatement returns it; its concrete type is one of the structs
// of this package.
type Statement interface {
	// RequiredRole is the lowest operator role that may run the statement.
	RequiredRole() v1.OperatorRole
	isStatement()
}

// Query is a statement that changes nothing; Evaluate answers it.
type Query interface {
	Statement
	isQuery()
}

// Command is a statement that changes something; the control core executes it.
type Command interface {
	Statement
	isCommand()
}

// Show lists one table, filtered and sorted.
type Show struct {
	Table string
	// OfType and OfName restrict the table to one object or engine; may be empty.
	OfType, OfName string
	Conditions     []Condition
	// OrderBy is a column of the table; empty keeps the table's own order.
	OrderBy    string
	Descending bool
	// Last keeps only this many rows at the end; 0 keeps all.
	Last int
}

// Explain shows the current state of one object or engine, since when it holds and why.
type Explain struct{ Type, Name string }

// History lists the changes of one object, or the orders of one engine.
type History struct{ Type, Name string }

// Condition selects the rows of a Show.
type Condition struct {
	Column   string
	Operator string // = != < <= > >= ~ (contains)
	Value    Value
}

// DrainEngine stops sending new work to an engine until ResumeEngine.
type DrainEngine struct{ Engine string }

// ResumeEngine lets a drained engine receive work again.
type ResumeEngine struct{ Engine string }

// SetEngineRole changes the role of an engine once; the planner may change it again.
type SetEngineRole struct {
	Engine string
	Role   v1.Role
}

// PinEngine declares a Pin object: the engine keeps the role until UnpinEngine.
type PinEngine struct {
	Engine string
	Role   v1.Role
}

// UnpinEngine deletes the Pin object of an engine.
type UnpinEngine struct{ Engine string }

// AbortOrder aborts the outstanding order of an engine, if that is still possible.
type AbortOrder struct{ Engine string }

// ReleaseRequest deletes the recorded crashes of replicas that ran a request, so that it may run again.
type ReleaseRequest struct {
	// Signature is the request's signature in hexadecimal digits, as in logs and `show suspects`.
	Signature string
}

// DeleteObject deletes one declared object as a new revision.
type DeleteObject struct{ Key *v1.ObjectKey }

// AddMember adds a controller to the quorum as a learner.
type AddMember struct{ Member *v1.Member }

// PromoteMember makes a learner that has caught up a voter.
type PromoteMember struct{ ID string }

// RemoveMember removes a controller from the quorum.
type RemoveMember struct{ ID string }

// ReplaceMember adds a controller as a learner, promotes it once it has caught up, and removes the old
// controller.
type ReplaceMember struct {
	ID          string
	Replacement *v1.Member
}

// DumpLogs makes the answering controller write out its log ring.
type DumpLogs struct{}
