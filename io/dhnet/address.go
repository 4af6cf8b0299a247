package dhnet

import (
	"net/netip"
	"strconv"
)

// AddressError reports that a text isn't the address and port of one host.
type AddressError struct{ text string }

// Text returns the text.
func (e AddressError) Text() string { return e.text }

// Error implements error.
func (e AddressError) Error() string {
	return "address " + strconv.Quote(e.text) + " isn't the IP address of one host and a port; use one such as 10.0.0.1:8080"
}

// CheckHostAddress returns an AddressError unless a text is the IP address of one host and
// the port of a listener there. Addresses with an IPv6 zone are valid on one machine only.
func CheckHostAddress(text string) error {
	a, err := netip.ParseAddrPort(text)
	ip := a.Addr()
	if err != nil || a.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast || ip.Zone() != "" {
		return AddressError{text}
	}
	return nil
}

// broadcast is the IPv4 address of all hosts of a network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})
