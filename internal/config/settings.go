package config

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"fennelarch/policy/routing"
)

// noKind is a kind that no endpoint has.
const noKind routing.KindID = -1

// maxMilliseconds bounds times in milliseconds to what a time.Duration can hold.
const maxMilliseconds = 1e12

// Names are what the settings call classes, tenants, zones, kinds and report columns, by index, and the figures that
// only connections need.
type Names struct {
	Classes, Tenants, Zones, Kinds, Columns []string

	IdleTimeout          time.Duration // idle connections are closed after this
	StreamsPerConnection int           // attempts that one connection carries at a time
}

// Milliseconds is a time in milliseconds. One that is not a number or far below zero is 0.
func Milliseconds(ms float64) time.Duration {
	if !(ms > -maxMilliseconds) {
		return 0
	}
	return time.Duration(math.Round(min(ms, maxMilliseconds)*1000)) * time.Microsecond
}

// Decode reads the JSON text of a router's settings. It has no defaults, and decides nothing.
func Decode(text []byte) (routing.Settings, Names, error) {
	var keys conf
	if err := json.Unmarshal(text, &keys); err != nil {
		return routing.Settings{}, Names{}, describeJSONError("settings", text, err)
	}
	names := Names{
		Zones:                keys.Zones,
		Kinds:                keys.Kinds,
		Columns:              keys.Report.Columns,
		IdleTimeout:          Milliseconds(keys.Caps.Idle),
		StreamsPerConnection: keys.Caps.Streams,
	}
	settings := routing.Settings{}
	setTopology(&settings, &keys)
	setCapabilities(&settings, &keys.Caps)
	setRules(&settings, &keys.Rules)
	setSpecifics(&settings, &keys.Own)
	setReports(&settings, &keys.Report)
	if err := addClasses(&settings, &names, &keys); err != nil {
		return settings, names, err
	}
	addTenants(&settings, &names, keys.Tenants)
	return settings, names, nil
}

// setTopology sets where the router is, and what the endpoint list tells it.
func setTopology(settings *routing.Settings, keys *conf) {
	settings.Routers = keys.Instances
	settings.Zone = routing.ZoneID(keys.Zone)
	settings.PollEndpoints = keys.Registry == registrySubscribe
	hasLinkWeights := keys.Weights == weightsNominal || keys.Weights == weightsRough
	settings.WeightIsLinkCapacity = hasLinkWeights && keys.Own.Flow > 0
}

// setCapabilities sets what the transport can do.
func setCapabilities(settings *routing.Settings, keys *capabilityKeys) {
	settings.HealthChecks = keys.Probes
	settings.Cancel = keys.Cancel
	settings.HedgedRequests = keys.Second
	settings.RetryAfter = keys.RetryAfter
	settings.MaxRetryAfter = Milliseconds(keys.MaxWait)
	settings.MaxAttempts = keys.Tries
	settings.ConnectTimeout = Milliseconds(keys.Connect)
}

func setRules(settings *routing.Settings, keys *rulesKeys) {
	settings.PollInterval = Milliseconds(keys.AskWithin)
	settings.DrainGrace = Milliseconds(keys.Drain)
	settings.SlowStartShare = keys.ColdShare
	settings.SlowStartFor = Milliseconds(keys.Cold)
	settings.OverloadFactor = keys.Multiple
	settings.OverloadWindow = Milliseconds(keys.FallFor)
}

func setSpecifics(settings *routing.Settings, keys *specificsKeys) {
	settings.ZoneRouters = keys.Seats
	settings.ZoneIngressKBPerSecond = keys.Inlet
	settings.FlowKBPerSecond = keys.Flow

	settings.ParentKind = kindID(keys.Parent)
	settings.ParentSlowStartShare = keys.ParentFloor
	settings.ParentSlowStartFor = Milliseconds(keys.ParentRamp)
	settings.ParentOverloadFactor = keys.ParentMultiple
	settings.OriginKind = kindID(keys.Origin)
	settings.OriginOverloadFactor = keys.OriginMultiple
	settings.OriginOverloadWindow = Milliseconds(keys.OriginFor)

	settings.PurgeGrace = Milliseconds(keys.PurgeGrace)
	settings.PurgeCompleteAfter = Milliseconds(keys.Done)
	settings.AllowDirect = keys.Direct
	settings.CoalesceFills = keys.Joins
	settings.PeerFill = peerFills[keys.Neighbours]
	settings.ResponseDetail = responseDetails[keys.Says]
}

func setReports(settings *routing.Settings, keys *reportKeys) {
	settings.ReportChannel = reportChannels[keys.Via]
	for _, column := range keys.Columns {
		settings.ReportColumns = append(settings.ReportColumns, signals[column])
	}
}

// addClasses adds the request classes up to the first that is not valid.
func addClasses(settings *routing.Settings, names *Names, keys *conf) error {
	for i := range keys.Classes {
		class, err := decodeClass(&keys.Classes[i], names.Classes)
		if err != nil {
			return fmt.Errorf("settings.classes.%d: %w", i, err)
		}
		class.Write = atOrZero(keys.Own.Write, i)
		class.FreshFor = Milliseconds(atOrZero(keys.Own.Fresh, i))
		class.MaxStale = Milliseconds(atOrZero(keys.Own.Older, i))
		names.Classes = append(names.Classes, keys.Classes[i].Name)
		settings.Classes = append(settings.Classes, class)
	}
	return nil
}

func decodeClass(keys *classKeys, earlierNames []string) (routing.Class, error) {
	idempotency, isKnown := idempotencies[keys.Effect]
	if !isKnown {
		return routing.Class{}, fmt.Errorf("the unknown effect %q", keys.Effect)
	}
	dedupScope, isKnown := dedupScopes[keys.Group]
	if idempotency == routing.IdempotentWithKey && !isKnown {
		idempotency = routing.NonIdempotent // a retry must not go where the first attempt is not remembered
	}
	if slices.Contains(earlierNames, keys.Name) {
		return routing.Class{}, fmt.Errorf("there is a class %q before it", keys.Name)
	}
	if keys.Deadline <= 0 {
		return routing.Class{}, fmt.Errorf("a deadline of %g ms", keys.Deadline)
	}
	return routing.Class{
		LatencyObjective: Milliseconds(keys.Target),
		ObjectiveStretch: keys.Stretch,
		Deadline:         Milliseconds(keys.Deadline),
		Value:            keys.Worth,
		LateValue:        keys.Late,
		Idempotency:      idempotency,
		DedupScope:       dedupScope,
		DedupWindow:      Milliseconds(keys.Window),
		Stream:           keys.Stream,
	}, nil
}

func addTenants(settings *routing.Settings, names *Names, tenants []tenantKeys) {
	for _, tenant := range tenants {
		settings.Tenants = append(settings.Tenants, routing.Tenant{QuotaPerSecond: tenant.Allowance})
		names.Tenants = append(names.Tenants, tenant.Name)
	}
}

// atOrZero returns an element of a list, zero where the list is too short.
func atOrZero[T any](list []T, index int) (element T) {
	if index < len(list) {
		element = list[index]
	}
	return element
}

func kindID(index *int) routing.KindID {
	if index == nil {
		return noKind
	}
	return routing.KindID(*index)
}
