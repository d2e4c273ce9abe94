package gateway

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"pistachioford.example/core/account"
	"pistachioford.example/core/sharedrate"
)

// claimPollInterval is how often claims are sent while tokens are wanted. Claims
// of one moment for several accounts of an owner share a message.
const claimPollInterval = 20 * time.Millisecond

// maxClaimsPerMessage keeps a message of claims, and that of their grants, below
// 1,200 B: larger ones may be lost in part, or exceed maxHeartbeatBytes if
// thousands of accounts have the same owner.
const maxClaimsPerMessage = 128

// borrowTokens claims tokens of accounts from the instances that own them, ahead
// of the requests that need them.
func (g *Gateway) borrowTokens() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.usage.wanting:
		}
		for wants := true; wants && g.ctx.Err() == nil; {
			wants = false // after a panic the next request starts anew
			g.guard("claims", func() { wants = g.sendClaims() })
			pause(g.ctx, claimPollInterval)
		}
	}
}

// sendClaims sends the claims that are due and reports whether more may follow.
func (g *Gateway) sendClaims() (wants bool) {
	var claims map[string][]account.Claim
	g.usage.with(func(c *account.Caps) { claims, wants = c.Claims(time.Now()), c.Wants() })
	for owner, list := range claims {
		address := g.peers.addressOf(owner)
		if address == "" {
			continue
		}
		for part := range slices.Chunk(list, maxClaimsPerMessage) {
			g.peers.write(address, heartbeatMessage{claims: part})
		}
	}
	return wants
}

// signal wakes borrowTokens.
func (u *usage) signal() {
	select {
	case u.wanting <- struct{}{}:
	default:
	}
}

// handleLoans responds to claims of another instance and records grants. It
// returns false for other messages.
func (g *Gateway) handleLoans(message heartbeatMessage) bool {
	switch {
	case len(message.claims) > 0:
		var grants []account.Grant
		g.usage.with(func(c *account.Caps) { grants = c.Lend(time.Now(), message.claims) })
		if len(grants) > 0 {
			g.peers.write(message.from, heartbeatMessage{grants: grants})
		}
	case len(message.grants) > 0:
		g.usage.with(func(c *account.Caps) { c.Receive(time.Now(), message.grants) })
	default:
		return false
	}
	return true
}

// addressOf returns the address for heartbeats of an instance, or an empty text.
func (p *peers) addressOf(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.PeerAddr(name)
}

// appendTokens encodes each entry as 4 bytes for the account, a byte for the serial
// and a varint.
func appendTokens[T account.Claim | account.Grant](dst []byte, entries []T) []byte {
	for _, e := range entries {
		entry := account.Claim(e)
		dst = protowire.AppendFixed32(dst, entry.Account)
		dst = append(dst, entry.Serial)
		dst = protowire.AppendVarint(dst, uint64(min(max(entry.Tokens, 0), maxClaimedTokens)))
	}
	return dst
}

// maxClaimedTokens limits a received number of tokens.
const maxClaimedTokens = 1 << 20

func decodeTokens[T account.Claim | account.Grant](body []byte) (entries []T, err error) {
	for len(body) > 0 {
		group, n := protowire.ConsumeFixed32(body)
		if n < 0 || len(body) == n {
			return nil, errMalformedHeartbeat
		}
		serial := body[n]
		tokens, m := protowire.ConsumeVarint(body[n+1:])
		if m < 0 {
			return nil, errMalformedHeartbeat
		}
		body = body[n+1+m:]
		entries = append(entries, T(account.Claim{Account: group, Serial: serial, Tokens: int(min(tokens, maxClaimedTokens))}))
	}
	return entries, nil
}

// accountDemandUnit is the unit of a demand for an account, in requests per
// second.
const accountDemandUnit = 1.0 / 16

// appendAccountDemands encodes each demand as 4 bytes for the account and a
// varint for the rate, without tags: a heartbeat may carry 64.
func appendAccountDemands(dst []byte, demands []sharedrate.Demand) []byte {
	for _, d := range demands {
		dst = protowire.AppendFixed32(dst, d.Group)
		dst = protowire.AppendVarint(dst, uint64(math.Round(d.PerSecond/accountDemandUnit)))
	}
	return dst
}

func decodeAccountDemands(body []byte) (demands []sharedrate.Demand, err error) {
	for len(body) > 0 {
		group, n := protowire.ConsumeFixed32(body)
		if n < 0 {
			return nil, errMalformedHeartbeat
		}
		rate, m := protowire.ConsumeVarint(body[n:])
		if m < 0 {
			return nil, errMalformedHeartbeat
		}
		body = body[n+m:]
		demands = append(demands, sharedrate.Demand{
			Group: group, PerSecond: float64(min(rate, maxDemand/accountDemandUnit)) * accountDemandUnit,
		})
	}
	return demands, nil
}
