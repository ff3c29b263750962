package relay

// Features are optional features of relays. A deployment's contracts switch them on.
type Features struct {
	// SlotQueues makes relays share the slots of services without engines: one relay grants them for all relays, by
	// priority and by fair shares of the tenants, and plans when refused clients return.
	SlotQueues bool
}
