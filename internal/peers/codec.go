package peers

import (
	"bytes"
	"errors"
	"fmt"

	"stairrelay/internal/messages"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessageSize is the greatest length of an encoded message.
const MaxMessageSize = 1 << 20

// The bounds of what a message contains. A malformed one must not make the decoder
// allocate or nest without limit.
const (
	maxElements = 1 << 16
	maxNesting  = 16
)

// ErrTooLarge is the error of a message longer than MaxMessageSize.
var ErrTooLarge = errors.New("message too large")

// ErrNoSender is the error of a message without the version of its form or without its
// sender.
var ErrNoSender = errors.New("message without version or sender")

var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode writes a message.
func Encode(message messages.PeerMessage) ([]byte, error) {
	frame, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encoding message: %w", err)
	}
	if len(frame) > MaxMessageSize {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(frame))
	}
	return frame, nil
}

// Decode reads a message. Fields that it does not know are ignored, so that controllers
// of different versions can talk to each other.
func Decode(frame []byte) (messages.PeerMessage, error) {
	var message messages.PeerMessage
	// A decoder, unlike Unmarshal, allows bytes after the message.
	if err := decodeMode.NewDecoder(bytes.NewReader(frame)).Decode(&message); err != nil {
		return messages.PeerMessage{}, fmt.Errorf("decoding message: %w", err)
	}
	if message.Version == 0 || message.From == "" {
		return messages.PeerMessage{}, ErrNoSender
	}
	return message, nil
}
