// Package site provides fake cache servers (caches, parents, an origin) and a fake discovery server for tests and
// experiments. It implements the published protocol and must not depend on the internals of a router.
package site
