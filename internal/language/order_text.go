package language

import (
	"fmt"
	"strings"

	v1 "github.com/hazelpitch/hazelpitch/api/hazelpitch/v1"
)

// formatFence writes an order's fence as epoch/sequence.
func formatFence(order *v1.Order) string {
	return fmt.Sprintf("%d/%d", order.GetEpoch(), order.GetSequence())
}

// FormatOrder writes what an order requests, such as "set role decode".
func FormatOrder(order *v1.Order) string { return formatAction(order) }

// formatAction writes what an order requests, such as "set role decode".
func formatAction(order *v1.Order) string {
	words := []string{strings.ReplaceAll(enumName(order.GetAction().String(), "ORDER_ACTION_"), "_", " ")}
	switch order.GetAction() {
	case v1.OrderAction_ORDER_ACTION_SET_ROLE:
		words = append(words, RoleName(order.GetRole()))
	case v1.OrderAction_ORDER_ACTION_LOAD_MODEL:
		words = append(words, order.GetModel(), order.GetVersion())
	case v1.OrderAction_ORDER_ACTION_LOAD_ADAPTER, v1.OrderAction_ORDER_ACTION_UNLOAD_ADAPTER:
		words = append(words, order.GetAdapter(), order.GetVersion())
	}
	return strings.TrimSpace(strings.Join(words, " "))
}
