package peers

import (
	"bytes"
	"errors"
	"fmt"

	"stairrelay/internal/messages"

	"github.com/fxamacker/cbor/v2"
)

// MaxMessageSize is the maximum size of an encoded message in bytes. The text of
// ErrTooLarge contains this limit.
const MaxMessageSize = 1 << 20

// Limits of the decoder, so that a malformed message cannot exhaust memory or the stack.
const (
	maxElements = 1 << 16
	maxNesting  = 16
)

// ErrTooLarge is the error for a message that is larger than MaxMessageSize.
var ErrTooLarge = errors.New("message exceeds the limit of 1 MiB")

// ErrMissingVersionOrSender is the error for a message without a protocol version or
// without a sender.
var ErrMissingVersionOrSender = errors.New("message has no version or no sender")

var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	options := cbor.DecOptions{
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		MaxNestedLevels:   maxNesting,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // unreachable, because the options are constant
	}
	return mode
}

// Encode encodes a message. The error wraps ErrTooLarge if the result exceeds
// MaxMessageSize.
func Encode(message messages.PeerMessage) ([]byte, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encoding message: %w", err)
	}
	if len(data) > MaxMessageSize {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	return data, nil
}

// Decode decodes a message. It returns ErrMissingVersionOrSender if the message has no
// protocol version or no sender. Unknown fields are ignored, for compatibility between
// controllers of different releases. A field is known only by its exact name.
func Decode(data []byte) (messages.PeerMessage, error) {
	var message messages.PeerMessage
	// Unlike Unmarshal, a Decoder allows trailing bytes.
	if err := decodeMode.NewDecoder(bytes.NewReader(data)).Decode(&message); err != nil {
		return messages.PeerMessage{}, fmt.Errorf("decoding message: %w", err)
	}
	if message.Version == 0 || message.From == "" {
		return messages.PeerMessage{}, ErrMissingVersionOrSender
	}
	return message, nil
}
