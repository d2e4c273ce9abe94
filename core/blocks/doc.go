// Package blocks maps blocks of client addresses to sites.
//
// The blocks are cut into chunks that are named by the hash of their content
// and listed in a manifest, so that a change transfers only changed chunks.
package blocks
