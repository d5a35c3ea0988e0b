package config

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"fennelarch/policy/routing"
)

// noKind is the ID of a kind that no endpoint has.
const noKind routing.KindID = -1

// maxMilliseconds bounds durations in milliseconds to the range of time.Duration.
const maxMilliseconds = 1e12

// Names holds the names that the settings give to classes, tenants, zones, kinds and report columns, by index. It also
// holds the settings that only connections need.
type Names struct {
	Classes, Tenants, Zones, Kinds, Columns []string

	IdleTimeout          time.Duration // time after which an idle connection is closed
	StreamsPerConnection int           // attempts that one connection carries at a time
}

// Milliseconds converts milliseconds to a duration, rounded to microseconds. Values above maxMilliseconds are reduced
// to it; a value that is NaN, or -maxMilliseconds or less, gives 0.
func Milliseconds(ms float64) time.Duration {
	if !(ms > -maxMilliseconds) {
		return 0
	}
	return time.Duration(math.Round(min(ms, maxMilliseconds)*1000)) * time.Microsecond
}

// Decode parses the JSON text of a router's settings. It applies no defaults.
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

// setTopology sets the router's zone, the number of routers, and how endpoint lists are obtained and weights are read.
func setTopology(settings *routing.Settings, keys *conf) {
	settings.Routers = keys.Instances
	settings.Zone = routing.ZoneID(keys.Zone)
	settings.WatchEndpoints = keys.Registry == registrySubscribe
	hasLinkWeights := keys.Weights == weightsNominal || keys.Weights == weightsRough
	settings.WeightIsLinkCapacity = hasLinkWeights && keys.Own.Flow > 0
}

// setCapabilities sets what the platform's transport supports.
func setCapabilities(settings *routing.Settings, keys *capabilityKeys) {
	settings.HealthChecks = keys.Probes
	settings.AllowCancel = keys.Cancel
	settings.HedgedRequests = keys.Second
	settings.SendRetryAfter = keys.RetryAfter
	settings.MaxRetryAfter = Milliseconds(keys.MaxWait)
	settings.MaxAttempts = keys.Tries
	settings.ConnectTimeout = Milliseconds(keys.Connect)
}

func setRules(settings *routing.Settings, keys *rulesKeys) {
	settings.PollInterval = Milliseconds(keys.AskWithin)
	settings.DrainGrace = Milliseconds(keys.Drain)
	settings.SlowStartShare = keys.ColdShare
	settings.SlowStartDuration = Milliseconds(keys.Cold)
	settings.OverloadFactor = keys.Multiple
	settings.OverloadWindow = Milliseconds(keys.FallFor)
}

func setSpecifics(settings *routing.Settings, keys *specificsKeys) {
	settings.ZoneRouters = keys.Seats
	settings.ZoneIngressKBPerSecond = keys.Inlet
	settings.FlowKBPerSecond = keys.Flow

	settings.ParentKind = kindID(keys.Parent)
	settings.ParentSlowStartShare = keys.ParentFloor
	settings.ParentSlowStartDuration = Milliseconds(keys.ParentRamp)
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

// addClasses adds the request classes. It stops with an error at the first class that is not valid.
func addClasses(settings *routing.Settings, names *Names, keys *conf) error {
	for i := range keys.Classes {
		class, err := decodeClass(&keys.Classes[i], names.Classes)
		if err != nil {
			return fmt.Errorf("settings.classes.%d: %w", i, err)
		}
		class.Write = atOrZero(keys.Own.Write, i)
		class.FreshDuration = Milliseconds(atOrZero(keys.Own.Fresh, i))
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
		idempotency = routing.NonIdempotent // an endpoint outside the scope would not recognize a retry
	}
	if slices.Contains(earlierNames, keys.Name) {
		return routing.Class{}, fmt.Errorf("there is a class %q before it", keys.Name)
	}
	if keys.Deadline <= 0 {
		return routing.Class{}, fmt.Errorf("a deadline of %g ms", keys.Deadline)
	}
	return routing.Class{
		LatencyObjective:        Milliseconds(keys.Target),
		ObjectiveTransferFactor: keys.Stretch,
		Deadline:                Milliseconds(keys.Deadline),
		Value:                   keys.Worth,
		LateValue:               keys.Late,
		Idempotency:             idempotency,
		DedupScope:              dedupScope,
		DedupWindow:             Milliseconds(keys.Window),
		Stream:                  keys.Stream,
	}, nil
}

func addTenants(settings *routing.Settings, names *Names, tenants []tenantKeys) {
	for _, tenant := range tenants {
		settings.Tenants = append(settings.Tenants, routing.Tenant{QuotaPerSecond: tenant.Allowance})
		names.Tenants = append(names.Tenants, tenant.Name)
	}
}

// atOrZero returns the element at an index, or the zero value if the list is too short.
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
