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
	// maxHops allows one relay to the issuer of a key and a second one from
	// there to the issuer's successor.
	maxHops            = 2
	maxRelaysInFlight  = 256 // Requests relayed by peers that are served concurrently.
	maxRelayFrameBytes = 32 << 10
)

var (
	errRelayTruncated    = errors.New("relayed transfer ended early")
	errRelayInvalidFrame = errors.New("relayed transfer is not valid")
)

func relayFailedResponse() *response {
	// The issuer of the key or its successor may have executed the request, now
	// or earlier.
	return refusalResponse(outcome.Outcome{Status: 502, Reason: outcome.ReasonRelayFailed, Executed: outcome.Unknown})
}

// relayNotSentResponse is the response when no part of the request was sent.
// When the request has a key, the issuer of the key or its successor may have
// executed it earlier.
func relayNotSentResponse(request *incomingRequest) *response {
	response := relayFailedResponse()
	if request.idempotencyKey == "" {
		response.Executed = outcome.No
	}
	return response
}

// relay sends a request to another instance and returns its response.
func (inst *Instance) relay(ctx context.Context, request *incomingRequest, instance string) *response {
	address, known := inst.members.address(instance)
	if !known {
		return refusalResponse(outcome.Outcome{Status: 409, Reason: outcome.ReasonIssuerGone, Executed: outcome.Unknown})
	}
	if request.hops >= maxHops {
		return relayFailedResponse()
	}
	inst.events.Emit(events.RequestRelayed, log.Fields{"service": request.service.Name,
		"key": request.idempotencyKey, "instance": instance, "hops": request.hops})
	region, _ := inst.members.region(instance)
	path := &linkPath{limiter: inst.linkLimiter, ctx: ctx, to: region, moveKey: request.moveKey, deadline: request.deadline}
	head := inst.requestHead(request)
	// Opening the stream already writes the name of the call, so the bytes of
	// the head are acquired before.
	release, err := path.acquire(headFrameBytes(head))
	if err != nil {
		return refusalResponse(refusedBeforeKeyCheck(request.idempotencyKey, linkCapRefusal(outcome.No)))
	}
	ctx, cancel := context.WithCancel(ctx)
	conn, err := inst.peers.Dial(ctx, address)
	if err != nil {
		release()
		cancel()
		return relayNotSentResponse(request)
	}
	closeStream := func() {
		cancel()
		_ = conn.Close()
	}
	stream, err := peerpb.NewDRPCPeerClient(conn).Relay(ctx)
	if err != nil {
		release()
		closeStream()
		return relayNotSentResponse(request)
	}
	err = stream.Send(head)
	release()
	if err == nil {
		err = sendRequestBody(stream, path, request)
	}
	// An instance that refuses the request ends the stream before the body is
	// sent. Its response is read nevertheless.
	if isLinkCapError(err) {
		closeStream()
		return refusalResponse(linkCapRefusal(outcome.Unknown))
	}
	if err == nil {
		_ = stream.CloseSend()
	}
	frame, err := stream.Recv()
	if isLinkCapError(err) {
		closeStream()
		return refusalResponse(linkCapRefusal(outcome.Unknown))
	}
	if err != nil || frame.GetHead() == nil {
		closeStream()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) || time.Now().After(request.deadline) {
			return refusalResponse(outcome.Outcome{Status: 504, Reason: outcome.ReasonDeadline, Executed: outcome.Unknown})
		}
		return relayFailedResponse()
	}
	return relayedResponse(frame.GetHead(), stream, closeStream)
}

// forwardTo sends a request to an instance of another region, which executes it
// at a target there. This instance keeps the key and records the result.
func (inst *Instance) forwardTo(ctx context.Context, request *incomingRequest, instance string) *response {
	if _, known := inst.members.address(instance); !known {
		return relayNotSentResponse(&incomingRequest{})
	}
	forwarded := *request
	forwarded.idempotencyKey, forwarded.hops = "", 0
	forwarded.forwards++
	response := inst.relay(ctx, &forwarded, instance)
	request.remainderRead = request.remainderRead || forwarded.remainderRead
	return response
}

func (inst *Instance) requestHead(request *incomingRequest) *peerpb.RelayFrame {
	head := &peerpb.RelayHead{
		Method: request.method, Uri: request.uri, Headers: headersToProto(request.header), OnceKey: request.idempotencyKey,
		DeadlineMillis: uint32(max(1, time.Until(request.deadline).Milliseconds())),
		AgeMillis:      uint32(time.Since(request.arrived).Milliseconds()),
		Hops:           request.hops + 1, ContentLength: request.bodyLength, Forwards: request.forwards, FromRegion: inst.settings.Region,
	}
	return &peerpb.RelayFrame{Frame: &peerpb.RelayFrame_Head{Head: head}}
}

func sendRequestBody(stream peerpb.DRPCPeer_RelayClient, path *linkPath, request *incomingRequest) error {
	body := request.targetRequest().Body
	if body == nil {
		body = http.NoBody
	}
	return sendBody(&linkLimitedSender{frameSender: stream, path: path}, path.maxBodyBytes, body)
}

type frameSender interface {
	Send(*peerpb.RelayFrame) error
}

// sendBody sends a body, followed by a frame that states whether it was
// complete. frameBytes returns the most bytes that the next frame may carry, up
// to maxRelayFrameBytes.
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

// frameBody reads a body from the frames of a stream. It returns io.EOF only
// after a frame that states that the body is complete.
type frameBody struct {
	recv   func() (*peerpb.RelayFrame, error)
	unread []byte
	err    error
	close  func()
}

// Read implements io.Reader.
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
	if !isFinalStatus(head.Status) {
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
