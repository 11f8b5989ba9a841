package grouprecord

import (
	"encoding/base64"
	"encoding/binary"
	"net"
	"net/netip"
	"strings"
)

// An IPv4 address with a port is stored as 8 characters of base64, an empty address as
// noAddress, and any other address as text after plainPrefix.
const (
	noAddress    = "."
	plainPrefix  = "="
	packedLength = 6 // bytes of an IPv4 address and a port
)

// packAddress returns the stored form of an address. An address with a space or a line
// feed would corrupt the machine's entry, so noAddress is stored instead.
func packAddress(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Addr().Is4() && roundTrips(parsed, address) {
		ip := parsed.Addr().As4()
		var packed [packedLength]byte
		copy(packed[:], ip[:])
		binary.BigEndian.PutUint16(packed[net.IPv4len:], parsed.Port())
		return base64.RawURLEncoding.EncodeToString(packed[:])
	}
	if address == "" || strings.ContainsAny(address, " \n") {
		return noAddress
	}
	return plainPrefix + address
}

// maxIPv4Length is the maximum length of an IPv4 address with a port.
const maxIPv4Length = len("255.255.255.255:65535")

// roundTrips reports whether an IPv4 address is formatted as the text from which it was
// parsed, so that unpacking restores the text.
func roundTrips(parsed netip.AddrPort, address string) bool {
	var buffer [maxIPv4Length]byte // avoids an allocation for each machine
	return string(parsed.AppendTo(buffer[:0])) == address
}

// unpackAddress returns the address with the given stored form. It returns
// ErrInvalidAddress if the stored form is malformed.
func unpackAddress(text string) (string, error) {
	if text == noAddress {
		return "", nil
	}
	if plain, ok := strings.CutPrefix(text, plainPrefix); ok {
		return plain, nil
	}
	packed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(packed) != packedLength {
		return "", ErrInvalidAddress
	}
	ip := netip.AddrFrom4([net.IPv4len]byte(packed[:net.IPv4len]))
	port := binary.BigEndian.Uint16(packed[net.IPv4len:])
	return netip.AddrPortFrom(ip, port).String(), nil
}
