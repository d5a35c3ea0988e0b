package discovery

import "errors"

var (
	errNotPage      = errors.New("not a page of events")
	errServerBehind = errors.New("the discovery server's last event number is lower than one already received")
)
