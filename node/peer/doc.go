// Package peer carries messages between instances over gRPC.
//
// Each direction between two instances has its own stream, opened by the sender.
// A frame is delivered at most once. The sender writes only its Hello until the
// receiver's response headers arrive, and after the headers gRPC never retries a
// stream, not even by its transparent retry. So gRPC may repeat the Hello, but no
// other frame.
//
// A stream that breaks after it carried a message is reported as PeerDown,
// because its last frames may be lost.
//
// Dial and NewGRPCServer also serve the other protocol between instances, that
// of package gateway in this module.
package peer
