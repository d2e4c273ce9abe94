package control

// Message is one message between two instances. The daemon encodes it in
// protobuf; see the package peer.
type Message interface{ message() }
