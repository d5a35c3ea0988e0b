package discovery

import "errors"

var (
	errNotPage      = errors.New("not a page of events")
	errOverdue      = errors.New("the response of the discovery server is overdue")
	errPageTooLong  = errors.New("a page of events does not end")
	errServerBehind = errors.New("the discovery server's last event number is lower than one already received")
)
