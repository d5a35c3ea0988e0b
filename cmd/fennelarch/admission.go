package main

// This file converts the admission section of the operator's file, the limits on client connections and requests, into
// settings of the admission policy.

import (
	"fmt"
	"net/netip"

	"fennelarch/internal/config"
	"fennelarch/internal/operatorconfig"
	"fennelarch/policy/admission"
)

// peerPrefixBits is the prefix length by which admission identifies IPv6 peers. Longer prefixes in the operator's
// file are shortened to this length.
const peerPrefixBits = 64

// admissionSettings returns the settings of the admission policy. Without an admission section, the settings have no
// limits.
func admissionSettings(file *operatorconfig.File, cfg *config.Config) (admission.Settings, error) {
	section := file.Admission
	if section == nil {
		return admission.Settings{SendRetryAfter: cfg.Routing.SendRetryAfter, MaxRetryAfter: cfg.Routing.MaxRetryAfter}, nil
	}
	known, err := parseNetworks(section.KnownClients)
	if err != nil {
		return admission.Settings{}, err
	}
	settings := admission.Settings{
		ReservedSlots:       section.ReservedConnections,
		ConnectionsPerPeer:  section.ConnectionsPerAddress,
		NewPerPeerPerSecond: section.NewConnectionsPerSecond,
		NewPerPeerBurst:     section.Burst,
		RequestsPerPeer:     section.RequestsPerAddress,
		MaxRequests:         section.Requests,
		MaxHandshakes:       section.MaxHandshakes,
		HandshakeCPU:        section.HandshakeCPU,
		MaxRememberedPeers:  section.MaxRemembered,
		SendRetryAfter:      cfg.Routing.SendRetryAfter,
		MaxRetryAfter:       cfg.Routing.MaxRetryAfter,
		IsAllowlisted:       func(peer admission.Peer) bool { return isInNetworks(peer, known) },
	}
	return settings.WithDefaults(), nil
}

// parseNetworks parses the operator's list of addresses and networks of known clients.
func parseNetworks(list []string) ([]netip.Prefix, error) {
	networks := make([]netip.Prefix, 0, len(list))
	for i, text := range list {
		network, err := netip.ParsePrefix(text)
		if err != nil {
			address, err := netip.ParseAddr(text)
			if err != nil {
				return nil, fmt.Errorf("operator's file: admission.known.%d: %q is neither an address nor a network", i, text)
			}
			network = netip.PrefixFrom(address, address.BitLen())
		}
		networks = append(networks, network.Masked())
	}
	return networks, nil
}

// isInNetworks reports whether a peer belongs to one of the networks.
func isInNetworks(peer admission.Peer, networks []netip.Prefix) bool {
	address := netip.AddrFrom16(peer).Unmap()
	for _, network := range networks {
		if network.Contains(address) {
			return true
		}
		isNarrow := network.Addr().Is6() && network.Bits() >= peerPrefixBits
		if isNarrow && admission.Address(network.Addr().As16()) == peer {
			return true
		}
	}
	return false
}
