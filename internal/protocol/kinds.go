package protocol

// NewRequest returns an empty request of the type for a kind, nil if the kind has none.
func NewRequest(kind Kind) any {
	switch kind {
	case KindLedger:
		return &LedgerRequest{}
	case KindSync:
		return &SyncRequest{}
	case KindEndedPrograms:
		return &EndedProgramsRequest{}
	case KindPermit:
		return &PermitRequest{}
	case KindSettings:
		return &SettingsRequest{}
	case KindRead:
		return &ReadRequest{}
	case KindFleetRequest:
		return &FleetRequest{}
	case KindFleetSync:
		return &FleetSync{}
	case KindTurn:
		return &TurnRequest{}
	}
	return nil
}

// NewReply returns an empty reply of the type for a kind of request, nil if the kind has none.
func NewReply(kind Kind) any {
	switch kind {
	case KindLedger:
		return &LedgerReply{}
	case KindSync:
		return &SyncReply{}
	case KindEndedPrograms:
		return &EndedProgramsReply{}
	case KindPermit:
		return &PermitReply{}
	case KindSettings:
		return &SettingsReply{}
	case KindRead:
		return &ReadReply{}
	case KindFleetRequest:
		return &FleetReply{}
	case KindFleetSync:
		return &FleetSyncReply{}
	case KindTurn:
		return &TurnReply{}
	}
	return nil
}
