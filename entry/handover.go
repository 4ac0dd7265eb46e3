package entry

import (
	"context"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/membership"
	"github.com/jacinthstall/jacinthstall/once"
	"github.com/jacinthstall/jacinthstall/outcome"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
)

const (
	handOverTimeout  = 2 * time.Second // Of one message.
	handOverAttempts = 2
)

// States of a record in a hand-over message.
const (
	recordAnswered    = 1
	recordUnknown     = 2
	recordBodyDropped = 3 // Answered, body too long to keep.
)

// handOver moves the at-most-once records to one successor. When it fails, the
// keys that were not handed over stay "unknown".
func (in *Instance) handOver(ctx context.Context) {
	for _, member := range in.nearestPeers() {
		client := in.peers.Client(ctx, member.PeerAddress)
		successor, ok := in.confirmSuccessor(ctx, member)
		if !ok {
			continue
		}
		in.sendBatches(ctx, successorPeer{client, member.Region}, successor, in.keyRegistry.HandOver(time.Now(), successor))
		return
	}
	in.events.Emit(events.RecordsNotHandedOver, log.Fields{"successor": "", "issuer": in.settings.Name})
}

// confirmSuccessor returns the incarnation of an instance that is not leaving.
func (in *Instance) confirmSuccessor(ctx context.Context, m membership.Member) (once.Issuer, bool) {
	from, err := in.exchangeState(ctx, m)
	if err != nil || from == nil || from.State != peerpb.MemberState_MEMBER_STATE_ALIVE {
		return once.Issuer{}, false
	}
	return once.Issuer{Instance: from.Name, Incarnation: from.Incarnation}, true
}

// successorPeer leads to the successor.
type successorPeer struct {
	client peerpb.DRPCPeerClient
	region string
}

// sendBatches stops for an issuer at the first message that is not accepted.
func (in *Instance) sendBatches(ctx context.Context, to successorPeer, successor once.Issuer, batches []once.Batch) {
	failed := map[once.Issuer]bool{}
	for _, b := range batches {
		if !failed[b.Issuer] && !in.sendBatch(ctx, to, b) {
			failed[b.Issuer] = true
			in.events.Emit(events.RecordsNotHandedOver, log.Fields{"successor": successor.Instance, "issuer": b.Issuer.Instance})
		}
	}
	if len(failed) == 0 {
		in.events.Emit(events.RecordsHandedOver, log.Fields{"successor": successor.Instance, "batches": len(batches)})
	}
}

func (in *Instance) sendBatch(ctx context.Context, to successorPeer, b once.Batch) bool {
	message := batchToProto(b)
	for range handOverAttempts {
		answer, err := in.sendHandOver(ctx, to, message)
		if err == nil {
			return answer.Accepted
		}
	}
	return false
}

// sendHandOver sends one message after its bytes were taken from the link when
// the successor is in another region.
func (in *Instance) sendHandOver(ctx context.Context, to successorPeer, m *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	path := &linkPath{limiter: in.linkLimiter, ctx: ctx, to: to.region, deadline: time.Now().Add(handOverTimeout)}
	written, err := path.acquire(int64(proto.Size(m)) + frameOverheadBytes + streamOverheadBytes)
	if err != nil {
		return nil, err
	}
	defer written()
	return to.client.HandOver(ctx, m)
}

func batchToProto(b once.Batch) *peerpb.HandOverRequest {
	m := &peerpb.HandOverRequest{Issuer: b.Issuer.Instance, Incarnation: b.Issuer.Incarnation, KeyEpoch: b.LastKeyEpoch,
		Last: b.Last, SuccessorIncarnation: b.Successor.Incarnation, Sequence: b.Sequence, OldestEpoch: b.OldestEpoch}
	for _, rec := range b.Records {
		m.Records = append(m.Records, recordToProto(rec))
	}
	return m
}

func recordToProto(rec once.Record) *peerpb.OnceRecord {
	state := uint32(recordUnknown)
	switch {
	case rec.Result.Executed == outcome.Yes && rec.Result.BodyDropped:
		state = recordBodyDropped
	case rec.Result.Executed == outcome.Yes:
		state = recordAnswered
	}
	return &peerpb.OnceRecord{Key: rec.Key.String(), State: state, Status: uint32(rec.Result.Status),
		Reason: string(rec.Result.Reason), Body: rec.Result.Body, ContentType: rec.Result.ContentType,
		Fingerprint: rec.Fingerprint[:]}
}

// HandOver takes records of an instance that stops.
func (p *peerServer) HandOver(_ context.Context, m *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	b := once.Batch{
		Issuer:      once.Issuer{Instance: m.Issuer, Incarnation: m.Incarnation},
		Successor:   once.Issuer{Instance: p.instance.settings.Name, Incarnation: m.SuccessorIncarnation},
		OldestEpoch: m.OldestEpoch, LastKeyEpoch: m.KeyEpoch, Sequence: m.Sequence, Last: m.Last,
	}
	for _, rec := range m.Records {
		record, ok := recordFromProto(rec)
		if !ok {
			return &peerpb.HandOverResponse{}, nil
		}
		b.Records = append(b.Records, record)
	}
	return &peerpb.HandOverResponse{Accepted: p.instance.keyRegistry.Accept(time.Now(), b)}, nil
}

func recordFromProto(m *peerpb.OnceRecord) (once.Record, bool) {
	key, err := once.ParseKey(m.Key)
	rec := once.Record{Key: key, Result: once.Result{Executed: outcome.Unknown, Status: int(m.Status),
		Reason: outcome.Reason(m.Reason), ContentType: m.ContentType, Body: m.Body}}
	if err != nil || len(m.Fingerprint) != len(rec.Fingerprint) {
		return once.Record{}, false
	}
	copy(rec.Fingerprint[:], m.Fingerprint)
	if m.State == recordAnswered || m.State == recordBodyDropped {
		rec.Result.Executed = outcome.Yes
		rec.Result.BodyDropped = m.State == recordBodyDropped
	}
	return rec, true
}
