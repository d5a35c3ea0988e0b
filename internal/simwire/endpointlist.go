package simwire

import "fennelarch/policy/routing"

// Offsets in the record that defines an endpoint list, and in the list's entries in the tail.
const (
	listNumberOffset = 1
	listTailOffset   = 2

	entryStartedAtOffset = 0 // 0: started long ago
	entryStateOffset     = 8
	entryKindOffset      = 9
	entryZoneOffset      = 11
	entryCellOffset      = 13
	entryIDOffset        = 15
	entryWeightOffset    = 21
	entrySize            = 25
)

// defineEndpointList stores a list that later events refer to by its number.
func (h *Host) defineEndpointList(rec record, tail []byte) error {
	number := int(rec[listNumberOffset])
	if number >= len(h.endpointLists) {
		return &ListNumberError{number}
	}
	entries, err := rec.tailPart(tail, listTailOffset, entrySize)
	if err != nil {
		return err
	}
	list := make([]routing.Endpoint, 0, len(entries)/entrySize)
	for ; len(entries) > 0; entries = entries[entrySize:] {
		endpoint, err := decodeEndpoint(record(entries[:entrySize]))
		if err != nil {
			return err
		}
		list = append(list, endpoint)
	}
	h.endpointLists[number] = list
	return nil
}

func decodeEndpoint(entry record) (routing.Endpoint, error) {
	endpoint := routing.Endpoint{
		ID:        entry.endpoint(entryIDOffset),
		State:     routing.EndpointState(entry[entryStateOffset]),
		Kind:      routing.KindID(entry.uint16(entryKindOffset)),
		Zone:      routing.ZoneID(entry.uint16(entryZoneOffset)),
		Cell:      routing.CellID(entry.uint16(entryCellOffset)),
		Weight:    entry.float32(entryWeightOffset),
		StartedAt: entry.milliseconds(entryStartedAtOffset),
	}
	if endpoint.State > routing.Draining {
		return endpoint, &UnknownCodeError{Description: "unknown state", Code: int(entry[entryStateOffset])}
	}
	if endpoint.StartedAt == 0 {
		endpoint.StartedAt = routing.LongAgo
	}
	return endpoint, nil
}
