package control

import (
	"strings"
	"time"

	"pistachioford.example/core/blocks"
	"pistachioford.example/core/member"
)

// Limits of the transfer of client blocks. A restarting instance fetches a full
// table of about 15 MB in less than a minute and slows no zone peer down.
const (
	blockFetches  = 8                // chunks asked for at a time
	blocksASecond = 10.0             // chunks asked for, on average
	blockTimeout  = 1 * time.Second  // until another zone peer is asked
	blockTries    = 3                // zone peers asked before the object store
	blockServed   = float64(1 << 20) // bytes sent to zone peers per second
	maxObject     = 4 << 20          // bytes of a chunk or a manifest
)

// clientBlocks is the table of client blocks in use and the one being fetched.
type clientBlocks struct {
	hash     string
	manifest *blocks.Manifest
	table    *blocks.Table

	target   string
	wanted   *blocks.Manifest
	missing  []string
	fetched  map[string]*blocks.Chunk
	fetching []blockFetch
	tokens   float64
	served   float64
	last     time.Time
}

// blockFetch is one object on its way.
type blockFetch struct {
	hash  string
	from  InstanceID
	data  []byte
	tries int
	sent  time.Time
	// call is set while the object store is asked.
	call OperationID
}

func (e *Engine) tickBlocks(now time.Time) {
	b := &e.blocks
	elapsed := now.Sub(b.last).Seconds()
	b.last = now
	b.tokens = min(blockFetches, b.tokens+elapsed*blocksASecond)
	b.served = min(blockServed, b.served+elapsed*blockServed)
	if e.documents.active == nil {
		return
	}
	e.targetBlocks(strings.TrimPrefix(e.documents.active.Blocks, "blocks/"))
	for i := range b.fetching {
		if f := &b.fetching[i]; f.call == 0 && now.Sub(f.sent) >= blockTimeout {
			e.fetchBlock(f, now)
		}
	}
	for len(b.missing) > 0 && len(b.fetching) < blockFetches && b.tokens >= 1 {
		b.tokens--
		last := len(b.missing) - 1
		b.fetching = append(b.fetching, blockFetch{hash: b.missing[last]})
		b.missing = b.missing[:last]
		e.fetchBlock(&b.fetching[len(b.fetching)-1], now)
	}
}

// targetBlocks starts to fetch another manifest.
func (e *Engine) targetBlocks(hash string) {
	b := &e.blocks
	if hash == b.target {
		return
	}
	b.target = hash
	b.wanted = nil
	b.fetching = nil
	b.missing = nil
	if hash != "" && hash != b.hash {
		b.missing = []string{hash}
	}
}

// fetchBlock asks a zone peer, or the object store when no zone peer delivers.
func (e *Engine) fetchBlock(f *blockFetch, now time.Time) {
	f.sent = now
	f.tries++
	zonePeers := e.members.ZonePeers()
	if len(zonePeers) > 0 && f.tries <= blockTries {
		zonePeer := &zonePeers[e.random.IntN(len(zonePeers))]
		f.from = zonePeer.ID
		f.data = nil
		e.reply(zonePeer, &BlockFetch{Hash: f.hash})
		return
	}
	f.tries = 0
	if id, ok := e.calls.read(forBlocks, now); ok {
		f.call = id
		e.do(FetchObject{ID: id, Name: blocks.ObjectName(f.hash)})
	}
}

// blockFetched takes the answer of the object store.
func (e *Engine) blockFetched(ended call, a PlatformAnswered) {
	for i := range e.blocks.fetching {
		f := &e.blocks.fetching[i]
		if f.call != ended.id {
			continue
		}
		f.call = 0
		if a.Err == nil && len(a.Object) <= maxObject {
			e.blockComplete(i, a.Object)
		}
		return
	}
}

func (e *Engine) receiveBlocks(now time.Time, from *member.Record, message Message) {
	switch m := message.(type) {
	case *BlockFetch:
		e.serveBlock(from, m)
	case *BlockAnswer:
		e.blockPart(now, from, m)
	}
}

// serveBlock answers within the limit; a zone peer that gets no answer asks another.
func (e *Engine) serveBlock(to *member.Record, m *BlockFetch) {
	b := &e.blocks
	if b.served <= 0 || to.Zone != e.config.Zone {
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
	part := data[m.Offset:min(uint64(len(data)), m.Offset+MaxData)]
	b.served -= float64(len(part))
	e.reply(to, &BlockAnswer{Hash: m.Hash, Offset: m.Offset, Size: uint64(len(data)), Data: part})
}

// chunk returns a chunk that is in use or was fetched.
func (e *Engine) chunk(hash string) *blocks.Chunk {
	if c := e.blocks.fetched[hash]; c != nil {
		return c
	}
	return e.blocks.table.Chunk(hash)
}

// blockPart takes a part of an object from a zone peer.
func (e *Engine) blockPart(now time.Time, from *member.Record, m *BlockAnswer) {
	for i := range e.blocks.fetching {
		f := &e.blocks.fetching[i]
		if f.hash != m.Hash || f.from != from.ID || m.Offset != uint64(len(f.data)) || m.Size > maxObject {
			continue
		}
		if m.Size == 0 {
			e.fetchBlock(f, now)
			return
		}
		f.data = append(f.data, m.Data...)
		switch size := uint64(len(f.data)); {
		case size == m.Size:
			e.blockComplete(i, f.data)
		case size > m.Size || len(m.Data) == 0:
			f.data = nil
		default:
			f.sent = now
			e.reply(from, &BlockFetch{Hash: f.hash, Offset: size})
		}
		return
	}
}

// blockComplete takes a whole object, and the table once nothing is missing.
func (e *Engine) blockComplete(at int, data []byte) {
	b := &e.blocks
	hash := b.fetching[at].hash
	if err := e.takeObject(hash, data); err != nil {
		b.fetching[at].data = nil
		e.log("client blocks refused", Field{"error", err.Error()})
		return
	}
	b.fetching = append(b.fetching[:at], b.fetching[at+1:]...)
	if b.wanted == nil || len(b.missing) > 0 || len(b.fetching) > 0 {
		return
	}
	table, err := blocks.Assemble(b.wanted, b.table, b.fetched)
	if err != nil {
		e.log("client blocks refused", Field{"error", err.Error()})
		return
	}
	b.hash, b.manifest, b.table = b.target, b.wanted, table
	b.wanted, b.fetched = nil, nil
	e.do(ActivateBlocks{Table: table})
}

// takeObject verifies an object; the manifest comes first and names the chunks.
func (e *Engine) takeObject(hash string, data []byte) error {
	b := &e.blocks
	if hash != b.target {
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
	b.wanted = m
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
