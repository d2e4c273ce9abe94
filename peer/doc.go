// Package peer connects the daemons of one fleet: gRPC calls on the peer port
// and mTLS for the peer and forward ports.
package peer
