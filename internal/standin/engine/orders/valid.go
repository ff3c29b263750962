package orders

import "github.com/hazelpitch/hazelpitch/internal/enginecontract"

// isValid reports whether an order carries the fields that its action needs.
func isValid(order enginecontract.Order) bool {
	if order.DrainMs < 0 || order.Fence.Epoch == 0 {
		return false
	}
	switch order.Action {
	case enginecontract.ActionSetRole:
		return order.Role == enginecontract.RolePrefill || order.Role == enginecontract.RoleDecode || order.Role == enginecontract.RoleMixed
	case enginecontract.ActionLoadModel:
		return order.Model != "" && order.Version != ""
	case enginecontract.ActionLoadAdapter, enginecontract.ActionUnloadAdapter:
		return order.Adapter != ""
	case enginecontract.ActionDrain, enginecontract.ActionResume, enginecontract.ActionAbort:
		return true
	}
	return false
}
