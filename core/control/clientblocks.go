package control

import (
	"strings"
	"time"

	"pistachioford.example/core/blocks"
	"pistachioford.example/core/member"
)

// Limits of the transfer of client blocks. With them a restarting instance
// fetches a full table of about 15 MB in less than a minute and does not slow
// down its zone peers.
const (
	maxBlockFetches  = 8                // fetches in progress
	blocksPerSecond  = 10.0             // fetches started, on average
	blockTimeout     = 1 * time.Second  // until the request is retried
	maxZonePeerTries = 3                // requests to zone peers before the object store
	blockServeRate   = float64(1 << 20) // bytes sent to zone peers per second
	maxObjectSize    = 4 << 20          // bytes of a chunk or a manifest
)

// clientBlocks is the table of client blocks in use and the progress of fetching
// the next one.
type clientBlocks struct {
	// hash, manifest and table are those in use; hash is that of the manifest.
	hash     string
	manifest *blocks.Manifest
	table    *blocks.Table

	// targetHash is the manifest hash that the active document names, and
	// targetManifest that manifest once it was fetched.
	targetHash     string
	targetManifest *blocks.Manifest
	missing        []string
	fetched        map[string]*blocks.Chunk
	fetching       []blockFetch
	// fetchTokens are the fetches and serveTokens the bytes that the limits
	// allow now; a large response makes serveTokens negative.
	fetchTokens float64
	serveTokens float64
	lastRefill  time.Time
}

// blockFetch is the fetch of one object, a chunk or a manifest.
type blockFetch struct {
	hash  string
	from  InstanceID
	data  []byte
	tries int
	sent  time.Time
	// call is the read of the object store in flight, 0 for none.
	call OperationID
}

func (e *Engine) tickBlocks(now time.Time) {
	b := &e.blocks
	elapsed := now.Sub(b.lastRefill).Seconds()
	b.lastRefill = now
	b.fetchTokens = min(maxBlockFetches, b.fetchTokens+elapsed*blocksPerSecond)
	b.serveTokens = min(blockServeRate, b.serveTokens+elapsed*blockServeRate)
	if e.documents.active == nil {
		return
	}
	e.setBlockTarget(strings.TrimPrefix(e.documents.active.BlocksManifest, "blocks/"))
	for i := range b.fetching {
		if f := &b.fetching[i]; f.call == 0 && now.Sub(f.sent) >= blockTimeout {
			e.fetchBlock(f, now)
		}
	}
	for len(b.missing) > 0 && len(b.fetching) < maxBlockFetches && b.fetchTokens >= 1 {
		b.fetchTokens--
		last := len(b.missing) - 1
		b.fetching = append(b.fetching, blockFetch{hash: b.missing[last]})
		b.missing = b.missing[:last]
		e.fetchBlock(&b.fetching[len(b.fetching)-1], now)
	}
}

// setBlockTarget starts to fetch the manifest that the active document names,
// unless it is already the target.
func (e *Engine) setBlockTarget(hash string) {
	b := &e.blocks
	if hash == b.targetHash {
		return
	}
	b.targetHash = hash
	b.targetManifest = nil
	b.fetching = nil
	b.missing = nil
	if hash != "" && hash != b.hash {
		b.missing = []string{hash}
	}
}

// fetchBlock requests an object from a random zone peer. After maxZonePeerTries
// requests, and when there is no zone peer, it asks the object store instead.
func (e *Engine) fetchBlock(f *blockFetch, now time.Time) {
	f.sent = now
	f.tries++
	zonePeers := e.members.ZonePeers()
	if len(zonePeers) > 0 && f.tries <= maxZonePeerTries {
		zonePeer := &zonePeers[e.random.IntN(len(zonePeers))]
		f.from = zonePeer.ID
		f.data = nil
		e.sendToMember(zonePeer, &BlockFetch{Hash: f.hash})
		return
	}
	f.tries = 0
	if id, ok := e.calls.startRead(purposeBlocks, now); ok {
		f.call = id
		e.emit(FetchObject{ID: id, Name: blocks.ObjectName(f.hash)})
	}
}

// blockObjectFetched handles the response of the object store.
func (e *Engine) blockObjectFetched(ended call, a PlatformAnswered) {
	for i := range e.blocks.fetching {
		f := &e.blocks.fetching[i]
		if f.call != ended.id {
			continue
		}
		f.call = 0
		if a.Err == nil && len(a.Object) <= maxObjectSize {
			e.blockObjectComplete(i, a.Object)
		}
		return
	}
}

func (e *Engine) handleBlockMessage(now time.Time, from *member.Record, message Message) {
	switch m := message.(type) {
	case *BlockFetch:
		e.serveBlock(from, m)
	case *BlockAnswer:
		e.blockPartReceived(now, from, m)
	}
}

// serveBlock answers the request of a zone peer, unless the bytes sent exceed
// blockServeRate. A zone peer that gets no response retries with a random zone
// peer after blockTimeout.
func (e *Engine) serveBlock(to *member.Record, m *BlockFetch) {
	b := &e.blocks
	if b.serveTokens <= 0 || to.Zone != e.config.Zone {
		return
	}
	var data []byte
	if m.Hash == b.hash && b.manifest != nil {
		data, _ = b.manifest.Encode()
	} else if c := e.chunk(m.Hash); c != nil {
		data = c.Encode()
	}
	if m.Offset > uint64(len(data)) {
		return
	}
	part := data[m.Offset:min(uint64(len(data)), m.Offset+MaxDataBytes)]
	b.serveTokens -= float64(len(part))
	e.sendToMember(to, &BlockAnswer{Hash: m.Hash, Offset: m.Offset, Size: uint64(len(data)), Data: part})
}

// chunk returns a chunk that is in use or was fetched, or nil.
func (e *Engine) chunk(hash string) *blocks.Chunk {
	if c := e.blocks.fetched[hash]; c != nil {
		return c
	}
	return e.blocks.table.Chunk(hash)
}

// blockPartReceived appends a part of an object that a zone peer sent, and
// requests the next one.
func (e *Engine) blockPartReceived(now time.Time, from *member.Record, m *BlockAnswer) {
	for i := range e.blocks.fetching {
		f := &e.blocks.fetching[i]
		if f.hash != m.Hash || f.from != from.ID || m.Offset != uint64(len(f.data)) || m.Size > maxObjectSize {
			continue
		}
		if m.Size == 0 {
			e.fetchBlock(f, now)
			return
		}
		f.data = append(f.data, m.Data...)
		switch size := uint64(len(f.data)); {
		case size == m.Size:
			e.blockObjectComplete(i, f.data)
		case size > m.Size || len(m.Data) == 0:
			f.data = nil
		default:
			f.sent = now
			e.sendToMember(from, &BlockFetch{Hash: f.hash, Offset: size})
		}
		return
	}
}

// blockObjectComplete verifies a complete object, and assembles and activates the
// table once no object is missing.
func (e *Engine) blockObjectComplete(index int, data []byte) {
	b := &e.blocks
	hash := b.fetching[index].hash
	if err := e.acceptObject(hash, data); err != nil {
		b.fetching[index].data = nil
		e.log("client blocks refused", Field{"error", err.Error()})
		return
	}
	b.fetching = append(b.fetching[:index], b.fetching[index+1:]...)
	if b.targetManifest == nil || len(b.missing) > 0 || len(b.fetching) > 0 {
		return
	}
	table, err := blocks.NewTable(b.targetManifest, b.table, b.fetched)
	if err != nil {
		e.log("client blocks refused", Field{"error", err.Error()})
		return
	}
	b.hash, b.manifest, b.table = b.targetHash, b.targetManifest, table
	b.targetManifest, b.fetched = nil, nil
	e.emit(ActivateBlocks{Table: table})
}

// acceptObject verifies an object and keeps it. The manifest comes first and
// determines which chunks are missing.
func (e *Engine) acceptObject(hash string, data []byte) error {
	b := &e.blocks
	if hash != b.targetHash {
		c, err := blocks.DecodeChunk(hash, data)
		if err == nil {
			b.fetched[hash] = c
		}
		return err
	}
	m, err := blocks.DecodeManifest(hash, data)
	if err != nil {
		return err
	}
	b.targetManifest = m
	fetched := b.fetched
	b.fetched = map[string]*blocks.Chunk{}
	for _, missing := range blocks.Diff(b.manifest, m) {
		if c := fetched[missing]; c != nil {
			b.fetched[missing] = c
			continue
		}
		b.missing = append(b.missing, missing)
	}
	// A random order lets the instances of a zone that start together read
	// different chunks from the object store and share them.
	e.random.Shuffle(len(b.missing), func(i, j int) {
		b.missing[i], b.missing[j] = b.missing[j], b.missing[i]
	})
	return nil
}
