package peer

import (
	"encoding/binary"
	"fmt"
)

const (
	// sizePrefixLength is the length of a frame's little-endian size prefix.
	sizePrefixLength = 4
	// minFrameLength is the length of the smallest FlatBuffers root, without the size prefix.
	minFrameLength = 8
)

// FrameReader splits a stream into frames. Between calls of Feed it buffers less than one frame.
type FrameReader struct{ buffer []byte }

// Feed appends data to the stream and calls handle for each frame that is now complete. After an error,
// which wraps ErrMalformed, the stream can't be read any further and the caller must close the link.
func (reader *FrameReader) Feed(data []byte, handle func(*Heartbeat)) error {
	reader.buffer = append(reader.buffer, data...)
	for len(reader.buffer) >= sizePrefixLength {
		size := int(binary.LittleEndian.Uint32(reader.buffer))
		if size < minFrameLength || size > MaxFrame {
			return fmt.Errorf("%w: size prefix %d is out of bounds", ErrMalformed, size)
		}
		end := sizePrefixLength + size
		if len(reader.buffer) < end {
			return nil
		}
		heartbeat, err := Decode(reader.buffer[sizePrefixLength:end])
		if err != nil {
			return err
		}
		handle(heartbeat)
		reader.buffer = append(reader.buffer[:0], reader.buffer[end:]...)
	}
	return nil
}
