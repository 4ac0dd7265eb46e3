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
		if !in.isTableWatcher() {
			sleep(ctx, tableWatchTime)
			continue
		}
		in.memberTable.mu.Lock()
		revision := in.memberTable.revision
		in.memberTable.mu.Unlock()
		v, err := in.platform.Watch(ctx, membertable.RecordKey(in.settings.Region), revision, tableWatchTime)
		switch {
		case err == nil:
			in.applyTableRecord(v.Data, v.Revision)
		case errors.Is(err, kv.ErrNotFound):
			in.setNoTableRecord()
		default:
			sleep(ctx, tableTickInterval)
		}
	}
}

// isTableWatcher reports whether the instance is one of the first tableWatchers
// of its domain by rendezvous hashing.
func (in *Instance) isTableWatcher() bool {
	own, higher := slots.RendezvousWeight(in.settings.Domain, in.settings.Name), 0
	for _, m := range in.members.view().Members {
		if m.Domain == in.settings.Domain && m.Usable() && slots.RendezvousWeight(in.settings.Domain, m.Name) > own {
			higher++
		}
	}
	return higher < tableWatchers
}

func (in *Instance) readTableRecord(ctx context.Context) error {
	v, err := in.platform.Get(ctx, membertable.RecordKey(in.settings.Region))
	if errors.Is(err, kv.ErrNotFound) {
		in.setNoTableRecord()
		return nil
	}
	if err != nil {
		return err
	}
	in.applyTableRecord(v.Data, v.Revision)
	return nil
}

func (in *Instance) setNoTableRecord() {
	in.memberTable.mu.Lock()
	defer in.memberTable.mu.Unlock()
	in.memberTable.loaded, in.memberTable.revision = true, 0
}

// applyTableRecord takes a record from the platform (with its revision) or a peer (0).
func (in *Instance) applyTableRecord(data []byte, revision uint64) {
	r, err := membertable.Decode(data)
	if err != nil {
		in.events.Emit(events.MemberTableRejected, log.Fields{"error": err.Error()})
		return
	}
	in.memberTable.mu.Lock()
	changed := in.memberTable.holder.ApplyRecord(r)
	if revision > 0 {
		in.memberTable.loaded, in.memberTable.revision = true, revision
	}
	version := in.memberTable.holder.ConfirmedVersion()
	in.memberTable.mu.Unlock()
	if changed {
		in.events.Emit(events.MemberTableInForce, log.Fields{"version": version, "members": len(r.Tables[len(r.Tables)-1].Members)})
	}
}

// FetchTable returns the record of the region when it is newer than what the
// asking instance knows.
func (p *peerServer) FetchTable(_ context.Context, r *peerpb.FetchTableRequest) (*peerpb.FetchTableResponse, error) {
	p.instance.memberTable.mu.Lock()
	record := p.instance.memberTable.holder.Record()
	p.instance.memberTable.mu.Unlock()
	if record.NewestVersion() <= r.Since {
		return &peerpb.FetchTableResponse{}, nil
	}
	data, err := record.Encode()
	return &peerpb.FetchTableResponse{Record: data}, err
}

// fetchTableFrom asks a peer for a newer record and reports whether it answered.
func (in *Instance) fetchTableFrom(ctx context.Context, address string) bool {
	in.memberTable.mu.Lock()
	since := in.memberTable.holder.ConfirmedVersion()
	in.memberTable.mu.Unlock()
	answer, err := in.peers.Client(ctx, address).FetchTable(ctx, &peerpb.FetchTableRequest{Since: since})
	if err == nil && len(answer.Record) > 0 {
		in.applyTableRecord(answer.Record, 0)
	}
	return err == nil
}

func (in *Instance) fetchTableFromDomain(ctx context.Context) bool {
	for _, m := range in.members.view().Members {
		if m.Domain == in.settings.Domain && m.Name != in.settings.Name && m.Usable() && in.fetchTableFrom(ctx, m.PeerAddress) {
			return true
		}
	}
	return false
}
