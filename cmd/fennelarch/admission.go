package main

// The settings of admission: limits on client connections and requests, as the operator's file gives them.

import (
	"fmt"
	"net/netip"

	"fennelarch/internal/config"
	"fennelarch/internal/operatorconfig"
	"fennelarch/policy/admission"
)

// minPeerNetworkBits is the narrowest IPv6 network by which admission knows a peer; longer prefixes are rounded to it.
const minPeerNetworkBits = 64

// admissionSettings returns the settings of admission. Without an operator's section no limit is set.
func admissionSettings(file *operatorconfig.File, cfg *config.Config) (admission.Settings, error) {
	section := file.Admission
	if section == nil {
		return admission.Settings{SendRetryAfter: cfg.Routing.RetryAfter, MaxRetryAfter: cfg.Routing.MaxRetryAfter}, nil
	}
	known, err := parseNetworks(section.Known)
	if err != nil {
		return admission.Settings{}, err
	}
	settings := admission.Settings{
		Reserve:             section.Reserve,
		ConnectionsPerPeer:  section.PerAddress,
		NewPerPeerPerSecond: section.NewPerSecond,
		Burst:               section.Burst,
		RequestsPerPeer:     section.RequestsPerAddress,
		MaxRequests:         section.Requests,
		MaxHandshakes:       section.Handshakes,
		HandshakeCPU:        section.HandshakeCPU,
		MaxRememberedPeers:  section.Remember,
		SendRetryAfter:      cfg.Routing.RetryAfter,
		MaxRetryAfter:       cfg.Routing.MaxRetryAfter,
		IsKnown:             func(peer admission.Peer) bool { return isInNetworks(peer, known) },
	}
	return settings.WithDefaults(), nil
}

// parseNetworks reads the operator's list of addresses and networks of known clients.
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
		isNarrow := network.Addr().Is6() && network.Bits() >= minPeerNetworkBits
		if isNarrow && admission.Address(network.Addr().As16()) == peer {
			return true
		}
	}
	return false
}
