package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/forward"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

const (
	// maxHops is reached when a key's issuer passes a request on to its
	// successor.
	maxHops            = 2
	maxRelaysInFlight  = 256 // Requests of other instances that are served at a time.
	maxRelayFrameBytes = 32 << 10
)

var (
	errRelayTruncated    = errors.New("relayed transfer ended early")
	errRelayInvalidFrame = errors.New("relayed transfer is not valid")
)

func relayFailedResponse() *response {
	// The authority may have executed the key, now or earlier.
	return refusalResponse(outcome.Outcome{Status: 502, Reason: outcome.ReasonRelayFailed, Executed: outcome.Unknown})
}

// relayNotSentResponse is the reply when nothing of the request was sent. With a key, the
// authority may have executed an earlier send.
func relayNotSentResponse(r *incomingRequest) *response {
	got := relayFailedResponse()
	if r.idempotencyKey == "" {
		got.Executed = outcome.No
	}
	return got
}

// relay sends a request to the instance that decides about its key.
func (in *Instance) relay(ctx context.Context, r *incomingRequest, instance string) *response {
	address, known := in.members.address(instance)
	if !known {
		return refusalResponse(outcome.Outcome{Status: 409, Reason: outcome.ReasonIssuerGone, Executed: outcome.Unknown})
	}
	if r.hops >= maxHops {
		return relayFailedResponse()
	}
	in.events.Emit(events.RequestRelayed, log.Fields{"service": r.service.Name, "key": r.idempotencyKey, "instance": instance, "hops": r.hops})
	region, _ := in.members.region(instance)
	path := &linkPath{limiter: in.linkLimiter, ctx: ctx, to: region, moveKey: r.moveKey, deadline: r.deadline}
	head := in.requestHead(r)
	// The call's name is written when the stream opens, so the bytes of the head
	// are taken before.
	written, err := path.acquire(headFrameBytes(head))
	if err != nil {
		return refusalResponse(refusedBeforeKeyCheck(r.idempotencyKey, linkCapRefusal(outcome.No)))
	}
	ctx, cancel := context.WithCancel(ctx)
	conn, err := in.peers.Dial(ctx, address)
	if err != nil {
		written()
		cancel()
		return relayNotSentResponse(r)
	}
	end := func() {
		cancel()
		_ = conn.Close()
	}
	stream, err := peerpb.NewDRPCPeerClient(conn).Relay(ctx)
	if err != nil {
		written()
		end()
		return relayNotSentResponse(r)
	}
	err = stream.Send(head)
	written()
	if err == nil {
		err = sendRequestBody(stream, path, r)
	}
	// An authority that refuses early ends the stream before the body is sent;
	// its answer is read all the same.
	if isLinkCapError(err) {
		end()
		return refusalResponse(linkCapRefusal(outcome.Unknown))
	}
	if err == nil {
		_ = stream.CloseSend()
	}
	frame, err := stream.Recv()
	if isLinkCapError(err) {
		end()
		return refusalResponse(linkCapRefusal(outcome.Unknown))
	}
	if err != nil || frame.GetHead() == nil {
		end()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) || time.Now().After(r.deadline) {
			return refusalResponse(outcome.Outcome{Status: 504, Reason: outcome.ReasonDeadline, Executed: outcome.Unknown})
		}
		return relayFailedResponse()
	}
	return relayedResponse(frame.GetHead(), stream, end)
}

// forwardTo sends a request to an instance of another region, which executes it
// at a target there. The key stays here: its record takes the result.
func (in *Instance) forwardTo(ctx context.Context, r *incomingRequest, instance string) *response {
	if _, known := in.members.address(instance); !known {
		return relayNotSentResponse(&incomingRequest{})
	}
	forwarded := *r
	forwarded.idempotencyKey, forwarded.hops = "", 0
	forwarded.forwards++
	got := in.relay(ctx, &forwarded, instance)
	r.remainderRead = r.remainderRead || forwarded.remainderRead
	return got
}

func (in *Instance) requestHead(r *incomingRequest) *peerpb.RelayFrame {
	head := &peerpb.RelayHead{
		Method: r.method, Uri: r.uri, Headers: headersToProto(r.header), OnceKey: r.idempotencyKey,
		DeadlineMillis: uint32(max(1, time.Until(r.deadline).Milliseconds())),
		AgeMillis:      uint32(time.Since(r.arrived).Milliseconds()),
		Hops:           r.hops + 1, ContentLength: r.bodyLength, Forwards: r.forwards, FromRegion: in.settings.Region,
	}
	return &peerpb.RelayFrame{Frame: &peerpb.RelayFrame_Head{Head: head}}
}

func sendRequestBody(stream peerpb.DRPCPeer_RelayClient, path *linkPath, r *incomingRequest) error {
	body := r.targetRequest().Body
	if body == nil {
		body = http.NoBody
	}
	return sendBody(&linkLimitedSender{frameSender: stream, path: path}, path.maxBodyBytes, body)
}

type frameSender interface {
	Send(*peerpb.RelayFrame) error
}

// sendBody sends a body and whether it was complete. FrameBytes is asked before
// each frame for the most bytes that it may carry, up to relayFrameBytes.
func sendBody(stream frameSender, frameBytes func() int, body io.Reader) error {
	buffer := make([]byte, maxRelayFrameBytes)
	for {
		n, err := body.Read(buffer[:min(frameBytes(), maxRelayFrameBytes)])
		if n > 0 {
			if failed := stream.Send(bodyFrame(buffer[:n])); failed != nil {
				return failed
			}
		}
		if err != nil {
			end := &peerpb.RelayEnd{Complete: err == io.EOF}
			return stream.Send(&peerpb.RelayFrame{Frame: &peerpb.RelayFrame_End{End: end}})
		}
	}
}

// frameBody reads a body from the frames of a stream. It ends with io.EOF only
// after a frame that says that the body is complete.
type frameBody struct {
	recv   func() (*peerpb.RelayFrame, error)
	unread []byte
	err    error
	close  func()
}

// Read passes on what has arrived.
func (b *frameBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 && b.err == nil {
		b.readFrame()
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	if n > 0 {
		return n, nil
	}
	return 0, b.err
}

func (b *frameBody) readFrame() {
	frame, err := b.recv()
	if err != nil {
		b.err = errRelayTruncated
		return
	}
	switch f := frame.Frame.(type) {
	case *peerpb.RelayFrame_Body:
		b.unread = f.Body
	case *peerpb.RelayFrame_End:
		b.err = errRelayTruncated
		if f.End.GetComplete() {
			b.err = io.EOF
		}
	default:
		b.err = errRelayInvalidFrame
	}
}

// Close ends the stream.
func (b *frameBody) Close() error {
	if b.close != nil {
		b.close()
	}
	return nil
}

func relayedResponse(head *peerpb.RelayHead, stream peerpb.DRPCPeer_RelayClient, cancel context.CancelFunc) *response {
	header := headersFromProto(head.Headers)
	if head.Status < 200 || head.Status > 599 {
		cancel()
		return relayFailedResponse()
	}
	o := outcome.Outcome{Status: int(head.Status), Reason: outcome.Reason(head.Reason),
		Executed: outcome.ParseExecuted(head.Executed), Target: header.Get(outcome.HeaderTarget)}
	forward.CleanResponseHeaders(header)
	if head.ContentLength == noResponseBody {
		cancel()
		return refusalResponse(o)
	}
	body := &frameBody{recv: stream.Recv, close: cancel}
	return &response{Outcome: o, header: header, bodyLength: head.ContentLength, body: body}
}

func headersToProto(h http.Header) []*peerpb.Header {
	var list []*peerpb.Header
	for name, values := range h {
		for _, value := range values {
			list = append(list, &peerpb.Header{Name: name, Value: value})
		}
	}
	return list
}

func headersFromProto(list []*peerpb.Header) http.Header {
	h := http.Header{}
	for _, header := range list {
		h.Add(header.Name, header.Value)
	}
	return h
}
