package protocol

// NewRequest returns an empty request of a kind, nil where there is
// none.
func NewRequest(kind Kind) any {
	switch kind {
	case KindLedger:
		return &LedgerRequest{}
	case KindSync:
		return &SyncRequest{}
	case KindReleased:
		return &ReleasedRequest{}
	case KindPermit:
		return &PermitRequest{}
	case KindSettings:
		return &SettingsRequest{}
	case KindRead:
		return &ReadRequest{}
	case KindFleetOrder:
		return &FleetOrder{}
	case KindFleetSync:
		return &FleetSync{}
	case KindTurn:
		return &TurnRequest{}
	}
	return nil
}

// NewReply returns an empty reply to a request of a kind, nil where there is none.
func NewReply(kind Kind) any {
	switch kind {
	case KindLedger:
		return &LedgerReply{}
	case KindSync:
		return &SyncReply{}
	case KindReleased:
		return &ReleasedReply{}
	case KindPermit:
		return &PermitReply{}
	case KindSettings:
		return &SettingsReply{}
	case KindRead:
		return &ReadReply{}
	case KindFleetOrder:
		return &FleetOrderReply{}
	case KindFleetSync:
		return &FleetSyncReply{}
	case KindTurn:
		return &TurnReply{}
	}
	return nil
}
