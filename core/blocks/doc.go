// Package blocks maps blocks of client addresses to sites.
//
// The sorted blocks are split into chunks. Each chunk is named by the hash of
// its content and listed in a manifest, so that a change of the blocks
// transfers only the changed chunks.
package blocks
