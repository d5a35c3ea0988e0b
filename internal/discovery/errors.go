package discovery

import "errors"

var (
	errNotPage = errors.New("not a page of events")
	errBehind  = errors.New("the discovery server is behind the last event")
)
