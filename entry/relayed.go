package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

// noResponseBody is the content length of a relayed outcome without an answer of a
// target.
const noResponseBody = -2

// Relay serves a request that another instance passes on because this one
// decides about its key.
func (p *peerServer) Relay(stream peerpb.DRPCPeer_RelayStream) error {
	in := p.instance
	over := in.relaysInFlight.Add(1) > maxRelaysInFlight
	defer in.relaysInFlight.Add(-1)
	in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	head := frame.GetHead()
	if head == nil {
		return errRelayInvalidFrame
	}
	back := in.responsePath(head, stream.Context())
	return withLinkCapCode(in.serveRelayed(head, stream, back, over))
}

// responsePath returns the path of the answer to a relayed request.
func (in *Instance) responsePath(head *peerpb.RelayHead, ctx context.Context) *linkPath {
	limit := time.Duration(head.DeadlineMillis) * time.Millisecond
	if d := in.document.Load(); d != nil {
		limit = min(limit, d.Timing.MaxDeadline())
	}
	return &linkPath{limiter: in.linkLimiter, ctx: ctx, to: head.FromRegion, deadline: time.Now().Add(limit)}
}

func (in *Instance) serveRelayed(head *peerpb.RelayHead, stream peerpb.DRPCPeer_RelayStream, back *linkPath, over bool) error {
	answer := &linkLimitedSender{frameSender: stream, path: back}
	if over {
		return sendRefusal(answer, outcome.Outcome{Status: 503, Reason: outcome.ReasonOverloaded, Executed: outcome.Unknown})
	}
	r, refusal := in.receiveRelayed(head, stream)
	if refusal != nil {
		return sendRefusal(answer, refusedBeforeKeyCheck(head.OnceKey, *refusal))
	}
	ctx, cancel := context.WithDeadline(stream.Context(), r.deadline)
	defer cancel()
	got := in.serveRequest(ctx, r)
	if got.body == nil {
		return sendRefusal(answer, got.Outcome)
	}
	defer func() { _ = got.body.Close() }()
	if err := sendHead(answer, got.Outcome, got.header, got.bodyLength); err != nil {
		return err
	}
	return sendBody(answer, back.maxBodyBytes, got.body)
}

func (in *Instance) receiveRelayed(head *peerpb.RelayHead, stream peerpb.DRPCPeer_RelayStream) (*incomingRequest, *outcome.Outcome) {
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
	r := &incomingRequest{
		method: head.Method, uri: head.Uri, header: headersFromProto(head.Headers), idempotencyKey: head.OnceKey,
		bodyLength: head.ContentLength, arrived: now.Add(-time.Duration(head.AgeMillis) * time.Millisecond),
		deadline: now.Add(limit), document: d, service: service, hops: head.Hops, forwards: head.Forwards,
	}
	return r, r.readBodyPrefix(&frameBody{recv: stream.Recv})
}

func sendHead(stream frameSender, o outcome.Outcome, header http.Header, length int64) error {
	head := &peerpb.RelayHead{Status: uint32(o.Status), Executed: string(o.Executed), Reason: string(o.Reason),
		Headers: headersToProto(header), ContentLength: length}
	if o.Target != "" {
		head.Headers = append(head.Headers, &peerpb.Header{Name: outcome.HeaderTarget, Value: o.Target})
	}
	return stream.Send(&peerpb.RelayFrame{Frame: &peerpb.RelayFrame_Head{Head: head}})
}

func sendRefusal(stream frameSender, o outcome.Outcome) error {
	return sendHead(stream, o, nil, noResponseBody)
}

// refusedBeforeKeyCheck types a refusal that was made before the records were asked.
// A request with a key may have been executed when it was sent before.
func refusedBeforeKeyCheck(key string, o outcome.Outcome) outcome.Outcome {
	if key != "" && o.Executed == outcome.No {
		o.Executed = outcome.Unknown
	}
	return o
}
