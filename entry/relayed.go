package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

// noBody is the content length of a relayed outcome without an answer of a
// target.
const noBody = -2

// Relay serves a request that another instance passes on because this one
// decides about its key.
func (p *peerServer) Relay(stream peerpb.DRPCPeer_RelayStream) error {
	in := p.in
	if in.relays.Add(1) > maxRelays {
		in.relays.Add(-1)
		return sendRefusal(stream, outcome.Outcome{Status: 503, Reason: outcome.ReasonOverloaded, Executed: outcome.Unknown})
	}
	defer in.relays.Add(-1)
	in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	head := frame.GetHead()
	if head == nil {
		return errRelayFrame
	}
	r, refusal := in.receiveRelayed(head, stream)
	if refusal != nil {
		return sendRefusal(stream, beforeDecision(head.OnceKey, *refusal))
	}
	ctx, cancel := context.WithDeadline(stream.Context(), r.deadline)
	defer cancel()
	got := in.serve(ctx, r)
	if got.body == nil {
		return sendRefusal(stream, got.Outcome)
	}
	defer func() { _ = got.body.Close() }()
	if err := sendHead(stream, got.Outcome, got.header, got.length); err != nil {
		return err
	}
	return sendBody(stream, got.body)
}

func (in *Instance) receiveRelayed(head *peerpb.RelayHead, stream peerpb.DRPCPeer_RelayStream) (*incoming, *outcome.Outcome) {
	d := in.document.Load()
	if d == nil {
		return nil, &outcome.Outcome{Status: 503, Reason: outcome.ReasonNoConfig, Executed: outcome.No}
	}
	path := pathOf(head.Uri)
	service, ok := d.ServiceFor(path)
	if !ok {
		return nil, &outcome.Outcome{Status: 404, Reason: outcome.ReasonNoService, Executed: outcome.No}
	}
	now := time.Now()
	limit := min(time.Duration(head.DeadlineMillis)*time.Millisecond, d.Timing.MaxDeadline())
	r := &incoming{
		method: head.Method, uri: head.Uri, header: fromHeaders(head.Headers), key: head.OnceKey,
		length: head.ContentLength, arrived: now.Add(-time.Duration(head.AgeMillis) * time.Millisecond),
		deadline: now.Add(limit), document: d, service: service, hops: head.Hops, forwards: head.Forwards,
	}
	return r, r.readPrefix(&frameBody{recv: stream.Recv})
}

func sendHead(stream peerpb.DRPCPeer_RelayStream, o outcome.Outcome, header http.Header, length int64) error {
	head := &peerpb.RelayHead{Status: uint32(o.Status), Executed: string(o.Executed), Reason: string(o.Reason),
		Headers: toHeaders(header), ContentLength: length}
	if o.Target != "" {
		head.Headers = append(head.Headers, &peerpb.Header{Name: outcome.HeaderTarget, Value: o.Target})
	}
	return stream.Send(&peerpb.RelayFrame{Frame: &peerpb.RelayFrame_Head{Head: head}})
}

func sendRefusal(stream peerpb.DRPCPeer_RelayStream, o outcome.Outcome) error {
	return sendHead(stream, o, nil, noBody)
}

// beforeDecision types a refusal that was made before the records were asked.
// A request with a key may have been executed when it was sent before.
func beforeDecision(key string, o outcome.Outcome) outcome.Outcome {
	if key != "" && o.Executed == outcome.No {
		o.Executed = outcome.Unknown
	}
	return o
}
