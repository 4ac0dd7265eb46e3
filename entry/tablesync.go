package entry

import (
	"context"
	"errors"

	"github.com/apex/log"

	"github.com/jacinthstall/jacinthstall/events"
	"github.com/jacinthstall/jacinthstall/kv"
	"github.com/jacinthstall/jacinthstall/membertable"
	"github.com/jacinthstall/jacinthstall/peer/peerpb"
	"github.com/jacinthstall/jacinthstall/slots"
)

// watchTable reads the record while this instance is one of the watchers.
func (in *Instance) watchTable(ctx context.Context) {
	for ctx.Err() == nil {
		if !in.watchesTable() {
			pause(ctx, tableWatch)
			continue
		}
		in.table.mu.Lock()
		revision := in.table.revision
		in.table.mu.Unlock()
		v, err := in.platform.Watch(ctx, membertable.RecordKey(in.settings.Region), revision, tableWatch)
		switch {
		case err == nil:
			in.learnTable(v.Data, v.Revision)
		case errors.Is(err, kv.ErrNotFound):
			in.noRecord()
		default:
			pause(ctx, tableInterval)
		}
	}
}

// watchesTable reports whether the instance is one of the first tableWatchers
// of its domain by rendezvous hashing.
func (in *Instance) watchesTable() bool {
	own, higher := slots.RendezvousWeight(in.settings.Domain, in.settings.Name), 0
	for _, m := range in.members.view().Members {
		if m.Domain == in.settings.Domain && m.Usable() && slots.RendezvousWeight(in.settings.Domain, m.Name) > own {
			higher++
		}
	}
	return higher < tableWatchers
}

func (in *Instance) readTable(ctx context.Context) error {
	v, err := in.platform.Get(ctx, membertable.RecordKey(in.settings.Region))
	if errors.Is(err, kv.ErrNotFound) {
		in.noRecord()
		return nil
	}
	if err != nil {
		return err
	}
	in.learnTable(v.Data, v.Revision)
	return nil
}

func (in *Instance) noRecord() {
	in.table.mu.Lock()
	defer in.table.mu.Unlock()
	in.table.read, in.table.revision = true, 0
}

// learnTable takes a record from the platform (with its revision) or a peer (0).
func (in *Instance) learnTable(data []byte, revision uint64) {
	r, err := membertable.Decode(data)
	if err != nil {
		in.events.Emit(events.MemberTableRejected, log.Fields{"error": err.Error()})
		return
	}
	in.table.mu.Lock()
	changed := in.table.holder.ApplyRecord(r)
	if revision > 0 {
		in.table.read, in.table.revision = true, revision
	}
	version := in.table.holder.ConfirmedVersion()
	in.table.mu.Unlock()
	if changed {
		in.events.Emit(events.MemberTableInForce, log.Fields{"version": version, "members": len(r.Tables[len(r.Tables)-1].Members)})
	}
}

// FetchTable returns the record of the region when it is newer than what the
// asking instance knows.
func (p *peerServer) FetchTable(_ context.Context, r *peerpb.FetchTableRequest) (*peerpb.FetchTableResponse, error) {
	p.in.table.mu.Lock()
	record := p.in.table.holder.Record()
	p.in.table.mu.Unlock()
	if record.NewestVersion() <= r.Since {
		return &peerpb.FetchTableResponse{}, nil
	}
	data, err := record.Encode()
	return &peerpb.FetchTableResponse{Record: data}, err
}

// fetchTable asks a peer for a newer record and reports whether it answered.
func (in *Instance) fetchTable(ctx context.Context, address string) bool {
	in.table.mu.Lock()
	since := in.table.holder.ConfirmedVersion()
	in.table.mu.Unlock()
	answer, err := in.peers.Client(ctx, address).FetchTable(ctx, &peerpb.FetchTableRequest{Since: since})
	if err == nil && len(answer.Record) > 0 {
		in.learnTable(answer.Record, 0)
	}
	return err == nil
}

func (in *Instance) fetchFromDomain(ctx context.Context) bool {
	for _, m := range in.members.view().Members {
		if m.Domain == in.settings.Domain && m.Name != in.settings.Name && m.Usable() && in.fetchTable(ctx, m.PeerAddress) {
			return true
		}
	}
	return false
}
