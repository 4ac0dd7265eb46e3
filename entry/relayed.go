package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

// noResponseBody is the content length of a relayed outcome that has no
// response of a target.
const noResponseBody = -2

// Relay serves a request that a peer relays: because this instance is the
// issuer of its key or the issuer's successor, or because the request was
// forwarded to this region.
func (server *peerServer) Relay(stream peerpb.DRPCPeer_RelayStream) error {
	inst := server.instance
	overloaded := inst.relaysInFlight.Add(1) > maxRelaysInFlight
	defer inst.relaysInFlight.Add(-1)
	inst.inFlight.Add(1)
	defer inst.inFlight.Add(-1)
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	head := frame.GetHead()
	if head == nil {
		return errRelayInvalidFrame
	}
	path := inst.responsePath(head, stream.Context())
	return withLinkCapCode(inst.serveRelayed(head, stream, path, overloaded))
}

// responsePath returns the link path for the response to a relayed request.
func (inst *Instance) responsePath(head *peerpb.RelayHead, ctx context.Context) *linkPath {
	limit := time.Duration(head.DeadlineMillis) * time.Millisecond
	if document := inst.document.Load(); document != nil {
		limit = min(limit, document.Timing.MaxDeadline())
	}
	return &linkPath{limiter: inst.linkLimiter, ctx: ctx, to: head.FromRegion, deadline: time.Now().Add(limit)}
}

func (inst *Instance) serveRelayed(head *peerpb.RelayHead, stream peerpb.DRPCPeer_RelayStream, path *linkPath, overloaded bool) error {
	sender := &linkLimitedSender{frameSender: stream, path: path}
	if overloaded {
		return sendRefusal(sender, outcome.Outcome{Status: 503, Reason: outcome.ReasonOverloaded, Executed: outcome.Unknown})
	}
	request, refusal := inst.receiveRelayed(head, stream)
	if refusal != nil {
		return sendRefusal(sender, refusedBeforeKeyCheck(head.OnceKey, *refusal))
	}
	ctx, cancel := context.WithDeadline(stream.Context(), request.deadline)
	defer cancel()
	result := inst.serveRequest(ctx, request)
	if result.body == nil {
		return sendRefusal(sender, result.Outcome)
	}
	defer func() { _ = result.body.Close() }()
	if err := sendHead(sender, result.Outcome, result.header, result.bodyLength); err != nil {
		return err
	}
	return sendBody(sender, path.maxBodyBytes, result.body)
}

func (inst *Instance) receiveRelayed(head *peerpb.RelayHead, stream peerpb.DRPCPeer_RelayStream) (*incomingRequest, *outcome.Outcome) {
	document := inst.document.Load()
	if document == nil {
		return nil, &outcome.Outcome{Status: 503, Reason: outcome.ReasonNoConfig, Executed: outcome.No}
	}
	path := pathOf(head.Uri)
	service, ok := document.ServiceFor(path)
	if !ok {
		return nil, &outcome.Outcome{Status: 404, Reason: outcome.ReasonNoService, Executed: outcome.No}
	}
	now := time.Now()
	limit := min(time.Duration(head.DeadlineMillis)*time.Millisecond, document.Timing.MaxDeadline())
	request := &incomingRequest{
		method: head.Method, uri: head.Uri, header: headersFromProto(head.Headers), idempotencyKey: head.OnceKey,
		bodyLength: head.ContentLength, arrived: now.Add(-time.Duration(head.AgeMillis) * time.Millisecond),
		deadline: now.Add(limit), document: document, service: service, hops: head.Hops, forwards: head.Forwards,
	}
	return request, request.readBodyPrefix(&frameBody{recv: stream.Recv})
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

// refusedBeforeKeyCheck returns the outcome of a refusal that was decided
// before the key registry was checked. A request with a key may have been
// executed when it was sent before, so "no" becomes "unknown".
func refusedBeforeKeyCheck(key string, o outcome.Outcome) outcome.Outcome {
	if key != "" && o.Executed == outcome.No {
		o.Executed = outcome.Unknown
	}
	return o
}
