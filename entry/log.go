package entry

import (
	"pistachioford.example/core/document"
	"pistachioford.example/core/traffic"
	"pistachioford.example/pistachioford/telemetry"
	"pistachioford.example/pistachioford/upstream"
)

var outcomeNames = map[traffic.Outcome]string{
	traffic.Responded: "answered",
	traffic.NotRun:    upstream.OutcomeNotRun,
	traffic.Unknown:   upstream.OutcomeUnknown,
	traffic.KeyReused: upstream.OutcomeKeyReused,
	traffic.BadKey:    upstream.OutcomeBadKey,
}

// logRequest writes one line about a request: at level info if the outcome is
// unknown, since the caller has to look into it, and otherwise at level debug,
// since a flood of requests would fill the log. Paths, queries, keys and header
// fields may contain secrets and are left out.
func (p *Proxy) logRequest(doc *document.Compiled, arrived *traffic.RequestArrived, reply *traffic.Reply) {
	unknown := reply != nil && reply.Outcome == traffic.Unknown
	if !unknown && !telemetry.Debugging() {
		return
	}
	emit := telemetry.Debug
	if unknown {
		emit = telemetry.Event
	}
	emit("request", p.logFields(doc, arrived, reply)...)
}

func (p *Proxy) logFields(doc *document.Compiled, arrived *traffic.RequestArrived, reply *traffic.Reply) []telemetry.Field {
	service, from := "", ""
	if doc != nil {
		service = doc.Services[arrived.Service].Name
	}
	if arrived.Forwarded != nil {
		from = string(arrived.Forwarded.From)
	}
	fields := []telemetry.Field{
		telemetry.F("instance", p.self.ID), telemetry.F("service", service), telemetry.F("from", from),
		telemetry.F("keyed", arrived.Key != ""), telemetry.F("body_bytes", arrived.BodyBytes),
	}
	if reply == nil {
		return append(fields, telemetry.F("outcome", "caller-gone"))
	}
	fields = append(fields,
		telemetry.F("outcome", outcomeNames[reply.Outcome]), telemetry.F("reason", reply.Reason),
		telemetry.F("attempts", reply.Attempts), telemetry.F("replayed", reply.Replayed))
	if response, ok := reply.Response.(*upstream.Response); ok {
		fields = append(fields, telemetry.F("status", response.Header.StatusCode()), telemetry.F("answer_bytes", response.Length))
	}
	return fields
}
