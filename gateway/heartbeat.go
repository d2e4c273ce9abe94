package gateway

import (
	"errors"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"pistachioford.example/core/account"
	"pistachioford.example/core/feed"
	"pistachioford.example/core/poison"
	"pistachioford.example/core/presence"
	"pistachioford.example/core/steer"
)

// heartbeatMessage is the message between instances, in the wire format of
// protobuf. It is sent many times a second over links whose traffic is charged,
// so it is kept small.
type heartbeatMessage struct {
	// own is the sender's heartbeat, others are copies of other instances'
	// heartbeats.
	own    presence.Heartbeat
	others []presence.Heartbeat
	// reports are exchanges that ended without a complete response, verdicts the
	// requests that are refused since they crash targets.
	reports  []poison.Report
	verdicts []poison.Verdict
	// observations are what the sender observed of targets.
	observations []steer.Observation
	// claims and grants are tokens of accounts' caps that instances lend each
	// other. A message with either carries nothing else.
	claims []account.Claim
	grants []account.Grant
	// from is the sender's address of a received message.
	from string
}

// Fields of a heartbeatMessage.
const (
	fieldOwn protowire.Number = iota + 1
	fieldOther
	_ // used by earlier versions
	fieldObservation
	fieldReport
	fieldVerdict
	fieldClaims
	fieldGrants
)

// Fields of an observation.
const (
	fieldTarget protowire.Number = iota + 1
	fieldLoad
	fieldDown
	fieldLeaving
	fieldLimit
	fieldLimitAge
	fieldTargetBoot
)

const (
	// A limit is sent in hundredths of a request per second, plus one; 1 is the
	// end of a limit.
	limitUnit = 0.01
	// limitAgeUnit is the unit of the age of a limit.
	limitAgeUnit = 100 * time.Millisecond
	// maxLimit bounds a received limit, maxLimitAge its age.
	maxLimit    = 1e9
	maxLimitAge = time.Hour
)

// Fields of a report.
const (
	fieldReportFingerprint protowire.Number = iota + 1
	fieldReportTarget
	fieldSentAgo
	fieldBrokenAgo
	fieldSilent
	fieldAliveAgo
)

// Fields of a verdict.
const (
	fieldVerdictFingerprint protowire.Number = iota + 1
	fieldSerial
	fieldBlocked
	fieldCrashes
	fieldQuiet
)

const (
	// reportAgeUnit is the unit of the ages in a report, quietUnit that of the
	// age in a verdict.
	reportAgeUnit = time.Millisecond
	quietUnit     = time.Second
	// maxReportAge, maxQuiet and maxCrashes limit received values.
	maxReportAge = time.Hour
	maxQuiet     = 24 * time.Hour
	maxCrashes   = 1 << 16
)

// Fields of a presence.Heartbeat.
const (
	fieldName protowire.Number = iota + 1
	fieldZone
	fieldRequestAddr
	fieldPeerAddr
	fieldBoot
	fieldSequence
	fieldFlags
	fieldDocument
	fieldRegistry
	fieldMilliCPU
	fieldLinkMbps
	fieldDemand
	fieldEra
	fieldAccountDemands
)

const (
	flagReady = 1 << iota
	flagLeaving
	flagSendsPulses
	flagReportsDemands
	flagStoreLost
	flagAdvertised
)

// Fields of a demand. The rate is in tenths of a request per second.
const (
	fieldDemandGroup protowire.Number = iota + 1
	fieldDemandRate
)

const demandRateUnit = 0.1

func encodeHeartbeatMessage(h heartbeatMessage) []byte {
	switch {
	case len(h.claims) > 0:
		return protowire.AppendBytes(protowire.AppendTag(nil, fieldClaims, protowire.BytesType), appendTokens(nil, h.claims))
	case len(h.grants) > 0:
		return protowire.AppendBytes(protowire.AppendTag(nil, fieldGrants, protowire.BytesType), appendTokens(nil, h.grants))
	}
	message := appendHeartbeat(nil, fieldOwn, h.own)
	for _, heartbeat := range h.others {
		message = appendHeartbeat(message, fieldOther, heartbeat)
	}
	for _, r := range h.reports {
		message = protowire.AppendTag(message, fieldReport, protowire.BytesType)
		message = protowire.AppendBytes(message, appendReport(nil, r))
	}
	for _, v := range h.verdicts {
		message = protowire.AppendTag(message, fieldVerdict, protowire.BytesType)
		message = protowire.AppendBytes(message, appendVerdict(nil, v))
	}
	for _, o := range h.observations {
		message = protowire.AppendTag(message, fieldObservation, protowire.BytesType)
		message = protowire.AppendBytes(message, appendObservation(nil, o))
	}
	return message
}

func appendHeartbeat(dst []byte, field protowire.Number, b presence.Heartbeat) []byte {
	var body []byte
	for number, value := range map[protowire.Number][]byte{
		fieldName: []byte(b.Name), fieldZone: []byte(b.Zone),
		fieldRequestAddr: packAddress(b.RequestAddr), fieldPeerAddr: packAddress(b.PeerAddr),
	} {
		body = protowire.AppendTag(body, number, protowire.BytesType)
		body = protowire.AppendBytes(body, value)
	}
	flags := uint64(0)
	if b.Ready {
		flags |= flagReady
	}
	if b.Leaving {
		flags |= flagLeaving
	}
	if b.SendsPulses {
		flags |= flagSendsPulses
	}
	if b.ReportsDemands {
		flags |= flagReportsDemands
	}
	if b.StoreLost {
		flags |= flagStoreLost
	}
	if b.Advertised {
		flags |= flagAdvertised
	}
	if len(b.AccountDemands) > 0 {
		body = protowire.AppendTag(body, fieldAccountDemands, protowire.BytesType)
		body = protowire.AppendBytes(body, appendAccountDemands(nil, b.AccountDemands))
	}
	for _, d := range b.Demands {
		demand := protowire.AppendTag(nil, fieldDemandGroup, protowire.Fixed32Type)
		demand = protowire.AppendFixed32(demand, d.Group)
		demand = protowire.AppendTag(demand, fieldDemandRate, protowire.VarintType)
		demand = protowire.AppendVarint(demand, uint64(math.Round(d.PerSecond/demandRateUnit)))
		body = protowire.AppendTag(body, fieldDemand, protowire.BytesType)
		body = protowire.AppendBytes(body, demand)
	}
	// A version of an earlier era tells nothing: it is older than all of this one.
	era := max(b.Document, b.Registry).Era()
	for number, value := range map[protowire.Number]uint64{
		fieldBoot: uint64(b.Boot), fieldSequence: b.Sequence, fieldFlags: flags, fieldEra: era,
		fieldDocument: counterIn(era, b.Document), fieldRegistry: counterIn(era, b.Registry),
		fieldMilliCPU: uint64(b.MilliCPU), fieldLinkMbps: uint64(b.LinkMbps),
	} {
		body = protowire.AppendTag(body, number, protowire.VarintType)
		body = protowire.AppendVarint(body, value)
	}
	dst = protowire.AppendTag(dst, field, protowire.BytesType)
	return protowire.AppendBytes(dst, body)
}

// counterIn returns the counter of a version of an era, or 0.
func counterIn(era uint64, v feed.Version) uint64 {
	if v.Era() != era {
		return 0
	}
	return v.Counter()
}

var errMalformedHeartbeat = errors.New("malformed heartbeat")

func decodeHeartbeatMessage(message []byte) (heartbeatMessage, error) {
	var h heartbeatMessage
	for len(message) > 0 {
		number, kind, n := protowire.ConsumeTag(message)
		if n < 0 || kind != protowire.BytesType {
			return heartbeatMessage{}, errMalformedHeartbeat
		}
		body, m := protowire.ConsumeBytes(message[n:])
		if m < 0 {
			return heartbeatMessage{}, errMalformedHeartbeat
		}
		message = message[n+m:]
		if err := h.decodeField(number, body); err != nil {
			return heartbeatMessage{}, err
		}
	}
	if h.own.Name == "" && len(h.claims) == 0 && len(h.grants) == 0 {
		return heartbeatMessage{}, errMalformedHeartbeat
	}
	return h, nil
}

func (h *heartbeatMessage) decodeField(number protowire.Number, body []byte) error {
	var err error
	switch number {
	case fieldOwn:
		h.own, err = decodeHeartbeat(body)
	case fieldOther:
		var heartbeat presence.Heartbeat
		heartbeat, err = decodeHeartbeat(body)
		h.others = append(h.others, heartbeat)
	case fieldReport:
		var r poison.Report
		r, err = decodeReport(body)
		h.reports = append(h.reports, r)
	case fieldVerdict:
		var v poison.Verdict
		v, err = decodeVerdict(body)
		h.verdicts = append(h.verdicts, v)
	case fieldObservation:
		var o steer.Observation
		o, err = decodeObservation(body)
		h.observations = append(h.observations, o)
	case fieldClaims:
		h.claims, err = decodeTokens[account.Claim](body)
	case fieldGrants:
		h.grants, err = decodeTokens[account.Grant](body)
	}
	return err
}

func appendObservation(dst []byte, o steer.Observation) []byte {
	dst = protowire.AppendTag(dst, fieldTarget, protowire.Fixed64Type)
	dst = protowire.AppendFixed64(dst, o.Target)
	if o.Down {
		dst = protowire.AppendTag(dst, fieldDown, protowire.VarintType)
		return protowire.AppendVarint(dst, 1)
	}
	if o.Leaving || o.Limit != 0 {
		return appendNotice(dst, o)
	}
	dst = protowire.AppendTag(dst, fieldLoad, protowire.VarintType)
	return protowire.AppendVarint(dst, uint64(o.Load))
}

// appendNotice encodes what the target of an observation stated.
func appendNotice(dst []byte, o steer.Observation) []byte {
	dst = protowire.AppendTag(dst, fieldTargetBoot, protowire.VarintType)
	dst = protowire.AppendVarint(dst, uint64(o.Boot))
	if o.Leaving {
		dst = protowire.AppendTag(dst, fieldLeaving, protowire.VarintType)
		dst = protowire.AppendVarint(dst, 1)
	}
	if o.Limit == 0 {
		return dst
	}
	limit := uint64(1)
	if o.Limit > 0 {
		limit += uint64(max(math.Round(o.Limit/limitUnit), 1))
	}
	dst = protowire.AppendTag(dst, fieldLimit, protowire.VarintType)
	dst = protowire.AppendVarint(dst, limit)
	dst = protowire.AppendTag(dst, fieldLimitAge, protowire.VarintType)
	return protowire.AppendVarint(dst, uint64(o.LimitAge/limitAgeUnit))
}

// maxLoad limits a received load; the real queues of targets are far shorter.
const maxLoad = 1 << 16

func decodeObservation(body []byte) (o steer.Observation, err error) {
	err = decodeNumbers(body, func(number protowire.Number, value uint64) {
		switch number {
		case fieldTarget:
			o.Target = value
		case fieldLoad:
			o.Load = int(min(value, maxLoad))
		case fieldDown:
			o.Down = value != 0
		case fieldLeaving:
			o.Leaving = value != 0
		case fieldLimit:
			o.Limit = float64(min(value, maxLimit)-1) * limitUnit
			if value <= 1 {
				o.Limit = steer.NoLimit
			}
		case fieldTargetBoot:
			o.Boot = uint32(value)
		case fieldLimitAge:
			o.LimitAge = time.Duration(min(value, uint64(maxLimitAge/limitAgeUnit))) * limitAgeUnit
		}
	})
	return o, err
}

// decodeNumbers calls set with each field of a message whose fields are all
// numbers.
func decodeNumbers(body []byte, set func(number protowire.Number, value uint64)) error {
	for len(body) > 0 {
		number, kind, n := protowire.ConsumeTag(body)
		if n < 0 {
			return errMalformedHeartbeat
		}
		body = body[n:]
		var value uint64
		switch kind {
		case protowire.Fixed64Type:
			value, n = protowire.ConsumeFixed64(body)
		case protowire.VarintType:
			value, n = protowire.ConsumeVarint(body)
		default:
			return errMalformedHeartbeat
		}
		if n < 0 {
			return errMalformedHeartbeat
		}
		body = body[n:]
		set(number, value)
	}
	return nil
}

func appendReport(dst []byte, r poison.Report) []byte {
	dst = protowire.AppendTag(dst, fieldReportFingerprint, protowire.Fixed64Type)
	dst = protowire.AppendFixed64(dst, r.Fingerprint)
	dst = protowire.AppendTag(dst, fieldReportTarget, protowire.Fixed64Type)
	dst = protowire.AppendFixed64(dst, r.Target)
	dst = protowire.AppendTag(dst, fieldSentAgo, protowire.VarintType)
	dst = protowire.AppendVarint(dst, uint64(r.SentAgo/reportAgeUnit))
	dst = protowire.AppendTag(dst, fieldBrokenAgo, protowire.VarintType)
	dst = protowire.AppendVarint(dst, uint64(r.BrokenAgo/reportAgeUnit))
	if !r.Silent {
		return dst
	}
	dst = protowire.AppendTag(dst, fieldSilent, protowire.VarintType)
	dst = protowire.AppendVarint(dst, protowire.EncodeBool(true))
	dst = protowire.AppendTag(dst, fieldAliveAgo, protowire.VarintType)
	return protowire.AppendVarint(dst, uint64(r.AliveAgo/reportAgeUnit))
}

func decodeReport(body []byte) (r poison.Report, err error) {
	err = decodeNumbers(body, func(number protowire.Number, value uint64) {
		switch number {
		case fieldReportFingerprint:
			r.Fingerprint = value
		case fieldReportTarget:
			r.Target = value
		case fieldSentAgo:
			r.SentAgo = time.Duration(min(value, uint64(maxReportAge/reportAgeUnit))) * reportAgeUnit
		case fieldBrokenAgo:
			r.BrokenAgo = time.Duration(min(value, uint64(maxReportAge/reportAgeUnit))) * reportAgeUnit
		case fieldSilent:
			r.Silent = protowire.DecodeBool(value)
		case fieldAliveAgo:
			r.AliveAgo = time.Duration(min(value, uint64(maxReportAge/reportAgeUnit))) * reportAgeUnit
		}
	})
	return r, err
}

func appendVerdict(dst []byte, v poison.Verdict) []byte {
	dst = protowire.AppendTag(dst, fieldVerdictFingerprint, protowire.Fixed64Type)
	dst = protowire.AppendFixed64(dst, v.Fingerprint)
	for _, field := range []struct {
		number protowire.Number
		value  uint64
	}{
		{fieldSerial, uint64(v.Serial)}, {fieldBlocked, protowire.EncodeBool(v.Blocked)},
		{fieldCrashes, uint64(v.Crashes)}, {fieldQuiet, uint64(v.Quiet / quietUnit)},
	} {
		if field.value > 0 {
			dst = protowire.AppendTag(dst, field.number, protowire.VarintType)
			dst = protowire.AppendVarint(dst, field.value)
		}
	}
	return dst
}

func decodeVerdict(body []byte) (v poison.Verdict, err error) {
	err = decodeNumbers(body, func(number protowire.Number, value uint64) {
		switch number {
		case fieldVerdictFingerprint:
			v.Fingerprint = value
		case fieldSerial:
			v.Serial = uint32(min(value, math.MaxUint32))
		case fieldBlocked:
			v.Blocked = value != 0
		case fieldCrashes:
			v.Crashes = int(min(value, maxCrashes))
		case fieldQuiet:
			v.Quiet = time.Duration(min(value, uint64(maxQuiet/quietUnit))) * quietUnit
		}
	})
	return v, err
}

func decodeHeartbeat(body []byte) (presence.Heartbeat, error) {
	var b presence.Heartbeat
	var era uint64
	for len(body) > 0 {
		number, kind, n := protowire.ConsumeTag(body)
		if n < 0 {
			return b, errMalformedHeartbeat
		}
		body = body[n:]
		switch kind {
		case protowire.BytesType:
			value, m := protowire.ConsumeBytes(body)
			if m < 0 {
				return b, errMalformedHeartbeat
			}
			if err := setBytesField(&b, number, value); err != nil {
				return b, err
			}
			n = m
		case protowire.VarintType:
			value, m := protowire.ConsumeVarint(body)
			if m < 0 {
				return b, errMalformedHeartbeat
			}
			if number == fieldEra {
				era = value
			}
			setVarintField(&b, number, value)
			n = m
		default:
			return b, errMalformedHeartbeat
		}
		body = body[n:]
	}
	b.Document, b.Registry = versionIn(era, b.Document), versionIn(era, b.Registry)
	return b, nil
}

// versionIn returns the version of an era with the counter of v, if it has one.
func versionIn(era uint64, v feed.Version) feed.Version {
	if v.Counter() == 0 {
		return 0
	}
	return feed.NewVersion(era, v.Counter())
}

// packAddress encodes an IP address and port, in 6 bytes for IPv4; as text they
// take up to 21.
func packAddress(address string) []byte {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil
	}
	packed, err := parsed.MarshalBinary()
	if err != nil {
		return nil
	}
	return packed
}

func unpackAddress(packed []byte) (string, error) {
	if len(packed) == 0 {
		return "", nil
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(packed); err != nil {
		return "", errMalformedHeartbeat
	}
	return address.String(), nil
}

func setBytesField(b *presence.Heartbeat, number protowire.Number, value []byte) (err error) {
	switch number {
	case fieldName:
		b.Name = string(value)
	case fieldZone:
		b.Zone = string(value)
	case fieldRequestAddr:
		b.RequestAddr, err = unpackAddress(value)
	case fieldPeerAddr:
		b.PeerAddr, err = unpackAddress(value)
	case fieldDemand:
		var d steer.Demand
		d, err = decodeDemand(value)
		b.Demands = append(b.Demands, d)
	case fieldAccountDemands:
		b.AccountDemands, err = decodeAccountDemands(value)
	}
	return err
}

// maxDemand limits a received demand, in requests per second.
const maxDemand = 1e6

func decodeDemand(body []byte) (steer.Demand, error) {
	number, kind, n := protowire.ConsumeTag(body)
	if n < 0 || number != fieldDemandGroup || kind != protowire.Fixed32Type {
		return steer.Demand{}, errMalformedHeartbeat
	}
	group, m := protowire.ConsumeFixed32(body[n:])
	if m < 0 {
		return steer.Demand{}, errMalformedHeartbeat
	}
	body = body[n+m:]
	number, kind, n = protowire.ConsumeTag(body)
	if n < 0 || number != fieldDemandRate || kind != protowire.VarintType {
		return steer.Demand{}, errMalformedHeartbeat
	}
	rate, m := protowire.ConsumeVarint(body[n:])
	if m < 0 {
		return steer.Demand{}, errMalformedHeartbeat
	}
	return steer.Demand{Group: group, PerSecond: float64(min(rate, maxDemand/demandRateUnit)) * demandRateUnit}, nil
}

// maxMachineSize limits a received processor share, in thousandths of a core, or
// link bandwidth, in Mbit/s.
const maxMachineSize = 1 << 30

func setVarintField(b *presence.Heartbeat, number protowire.Number, value uint64) {
	switch number {
	case fieldBoot:
		b.Boot = int64(value)
	case fieldSequence:
		b.Sequence = value
	case fieldFlags:
		b.Ready = value&flagReady != 0
		b.Leaving = value&flagLeaving != 0
		b.SendsPulses = value&flagSendsPulses != 0
		b.ReportsDemands = value&flagReportsDemands != 0
		b.StoreLost = value&flagStoreLost != 0
		b.Advertised = value&flagAdvertised != 0
	case fieldDocument:
		b.Document = feed.NewVersion(0, value)
	case fieldRegistry:
		b.Registry = feed.NewVersion(0, value)
	case fieldMilliCPU:
		b.MilliCPU = int(min(value, maxMachineSize))
	case fieldLinkMbps:
		b.LinkMbps = int(min(value, maxMachineSize))
	}
}
