package grouprecord

import (
	"encoding/base64"
	"net/netip"
	"strings"
)

// How an address is written: an IPv4 address with its port as 8 characters,
// any other as it is behind a prefix.
const (
	noAddress    = "."
	plainPrefix  = "="
	packedLength = 6 // bytes: the address and the port
)

func packAddress(address string) string {
	if ap, err := netip.ParseAddrPort(address); err == nil && ap.Addr().Is4() && roundTrips(ap, address) {
		ip, port := ap.Addr().As4(), ap.Port()
		return base64.RawURLEncoding.EncodeToString([]byte{ip[0], ip[1], ip[2], ip[3], byte(port >> 8), byte(port)})
	}
	if address == "" || strings.ContainsAny(address, " \n") {
		return noAddress
	}
	return plainPrefix + address
}

// maxIPv4Length is the longest text of an IPv4 address with its port.
const maxIPv4Length = len("255.255.255.255:65535")

// roundTrips tells whether an IPv4 address is written as it was stated.
func roundTrips(ap netip.AddrPort, stated string) bool {
	var buffer [maxIPv4Length]byte // spares an allocation for each machine
	return string(ap.AppendTo(buffer[:0])) == stated
}

func unpackAddress(text string) (string, error) {
	if text == noAddress {
		return "", nil
	}
	if plain, ok := strings.CutPrefix(text, plainPrefix); ok {
		return plain, nil
	}
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) != packedLength {
		return "", ErrInvalidAddress
	}
	ip, port := netip.AddrFrom4([4]byte(b[:4])), uint16(b[4])<<8|uint16(b[5])
	return netip.AddrPortFrom(ip, port).String(), nil
}
