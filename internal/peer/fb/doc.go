// Package fb holds the FlatBuffers accessors generated from peer.fbs: the wire
// form of the messages that controllers send each other.
package fb
