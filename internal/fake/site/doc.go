// Package site provides fake cache servers (caches, parents, an origin) and a fake discovery server for tests and
// experiments. It is written from the published protocol and must never depend on a router's internals.
package site
