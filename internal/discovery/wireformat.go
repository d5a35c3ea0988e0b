package discovery

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"time"

	"fennelarch/internal/engine"
	"fennelarch/policy/routing"

	"go.uber.org/zap"
)

// The types in this file define the JSON form of discovery events. The keys are those of the discovery server's
// protocol:
//
//	no             number of an event; in a page, number of the last event published
//	items          events of a page
//	roster         endpoint list: complete (all), or only the endpoints that have changed
//	targets        endpoints of a list
//	endpoint       address of an endpoint
//	az             zone of an endpoint
//	model          kind of an endpoint
//	pod_group      cell of an endpoint
//	capacity_hint  weight of an endpoint
//	boot_ms        start time of an endpoint, in Unix milliseconds; 0: unknown
//	recall         purge of an object (item, hexadecimal) or a group (lot) at a time (issued, in Unix milliseconds)

// Page is a sequence of events, as returned by a poll or stored in the configuration.
type Page struct {
	lastEvent int64
	events    []event
}

type event struct {
	Number int64         `json:"no"`
	List   *endpointList `json:"roster"`
	Purge  *purge        `json:"recall"`

	err error // why the event cannot be decoded; only Number is valid then
}

type endpointList struct {
	IsComplete bool       `json:"all"`
	Endpoints  []endpoint `json:"targets"`
}

type endpoint struct {
	UID      string  `json:"uid"`
	Address  string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootTime float64 `json:"boot_ms"`

	err error // why the endpoint cannot be decoded
}

type purge struct {
	Object string `json:"item"`
	Group  int    `json:"lot"`
	Issued int64  `json:"issued"`
}

// endpointStates maps the protocol's endpoint states to those of package routing.
var endpointStates = map[string]routing.EndpointState{
	"gone":     routing.Gone,
	"ready":    routing.Ready,
	"draining": routing.Draining,
}

// UnmarshalJSON decodes an endpoint of a list. It stores a failure in the endpoint instead of returning the error, so
// that the other endpoints of the event are still decoded.
func (e *endpoint) UnmarshalJSON(text []byte) error {
	type plainEndpoint endpoint // has no UnmarshalJSON, which would recurse
	var decoded plainEndpoint
	err := json.Unmarshal(text, &decoded)
	*e = endpoint(decoded)
	e.err = err
	return nil
}

// ParseKnown parses the events stored in a configuration. If it returns an error, the page holds the events before the
// failure; the discovery server reports the state that follows from the others.
func ParseKnown(text []byte) (Page, error) { return readPage(bytes.NewReader(text), func(*Page) {}) }

// readPage reads a page event by event. It returns the complete events of a truncated page, but no last event number.
// After each event it calls onEvent, which may take the events that have been read.
func readPage(r io.Reader, onEvent func(page *Page)) (page Page, err error) {
	decoder := json.NewDecoder(r)
	lastEvent := int64(0)
	if err := expectDelimiter(decoder, '{'); err != nil {
		return page, err
	}
	for decoder.More() {
		name, err := decoder.Token()
		switch {
		case err != nil:
		case name == "no":
			err = decoder.Decode(&lastEvent)
		case name == "items":
			err = readEvents(decoder, func(next event) {
				page.events = append(page.events, next)
				onEvent(&page)
			})
		default:
			err = decoder.Decode(new(json.RawMessage))
		}
		if err != nil {
			return page, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return page, err
	}
	page.lastEvent = lastEvent
	return page, nil
}

func expectDelimiter(decoder *json.Decoder, want json.Delim) error {
	if token, err := decoder.Token(); err != nil || token != want {
		return cmp.Or(err, errNotPage)
	}
	return nil
}

func readEvents(decoder *json.Decoder, add func(next event)) error {
	if err := expectDelimiter(decoder, '['); err != nil {
		return err
	}
	for decoder.More() {
		var text json.RawMessage
		if err := decoder.Decode(&text); err != nil {
			return err
		}
		read, err := parseEvent(text)
		if err != nil {
			return err
		}
		add(read)
	}
	_, err := decoder.Token()
	return err
}

// parseEvent decodes an event. If only the number can be decoded, the returned event holds the error, so that the
// events after it are still read.
func parseEvent(text []byte) (event, error) {
	var parsed event
	err := json.Unmarshal(text, &parsed)
	if err == nil {
		return parsed, nil
	}
	var numbered struct {
		Number int64 `json:"no"`
	}
	if json.Unmarshal(text, &numbered) != nil || numbered.Number <= 0 {
		return event{}, err
	}
	return event{Number: numbered.Number, err: err}, nil
}

// message translates an event into a message for the engine. The message is nil for an event of an unknown type.
func (w *Watcher) message(e *event) (engine.Message, error) {
	switch {
	case e.err != nil:
		return nil, e.err
	case e.List != nil:
		return w.listMessage(e.List), nil
	case e.Purge != nil:
		return e.Purge.message()
	}
	return nil, nil
}

// listMessage translates an endpoint list into a message for the engine. Endpoints that cannot be decoded or used are
// logged and left out.
func (w *Watcher) listMessage(list *endpointList) engine.EndpointList {
	message := engine.EndpointList{Complete: list.IsComplete}
	for i := range list.Endpoints {
		listed := &list.Endpoints[i]
		if listed.err != nil {
			w.log.Warn("endpoint unreadable", zap.String("uid", listed.UID), zap.Error(listed.err))
			continue
		}
		endpoint, isUsable := w.endpoint(listed)
		if !isUsable {
			w.log.Warn("endpoint unusable", zap.String("uid", listed.UID), zap.String("state", listed.State),
				zap.String("kind", listed.Kind), zap.String("zone", listed.Zone))
			continue
		}
		message.Endpoints = append(message.Endpoints, endpoint)
	}
	return message
}

// endpoint translates an endpoint. An endpoint without a UID, or of an unknown state, kind or zone, is not usable.
func (w *Watcher) endpoint(listed *endpoint) (translated engine.Endpoint, isUsable bool) {
	state, isKnown := endpointStates[listed.State]
	kind, zone := slices.Index(w.names.Kinds, listed.Kind), slices.Index(w.names.Zones, listed.Zone)
	if !isKnown || listed.UID == "" || kind < 0 || zone < 0 {
		return engine.Endpoint{}, false
	}
	translated = engine.Endpoint{UID: listed.UID, Address: listed.Address, Endpoint: routing.Endpoint{
		ID:     engine.EndpointID(listed.UID),
		State:  state,
		Kind:   routing.KindID(kind),
		Zone:   routing.ZoneID(zone),
		Cell:   routing.CellID(listed.Cell),
		Weight: listed.Weight,
	}}
	if listed.BootTime > 0 {
		translated.BootTime = time.UnixMilli(int64(listed.BootTime)).UTC()
	}
	return translated, true
}

func (p *purge) message() (engine.Message, error) {
	message := engine.Purge{Group: routing.GroupID(p.Group), Issued: time.UnixMilli(p.Issued).UTC()}
	if p.Object != "" {
		object, err := strconv.ParseUint(p.Object, 16, 64)
		if err != nil {
			return nil, err
		}
		message.Object = routing.ObjectID(object)
	}
	return message, nil
}
