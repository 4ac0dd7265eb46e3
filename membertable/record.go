package membertable

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/jacinthstall/jacinthstall/allotment"
	"github.com/jacinthstall/jacinthstall/slots"
)

// MaxTables bounds the versions in a record.
const MaxTables = 16

// keyPrefix starts the platform keys of member tables.
const keyPrefix = "members/"

// RecordKey returns the platform key of a region's record.
func RecordKey(region string) string { return keyPrefix + region }

// Member is one incarnation of an instance.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Domain      string `json:"domain"`
}

// ID identifies the incarnation among all members.
func (m Member) ID() string { return m.Name + "@" + strconv.FormatUint(m.Incarnation, 36) }

// Table is one version of the members of a region.
type Table struct {
	Version uint64   `json:"version"` // Counts from 1 without gaps.
	Members []Member `json:"members"` // In the order of their names.
	// FormerMembers lists the members of earlier versions that may still use one.
	FormerMembers []Member `json:"former,omitempty"`
}

// Record is the value stored on the platform: the latest versions, oldest first.
type Record struct {
	Tables []Table `json:"tables"`
}

// RecordError is a record that must not be used.
type RecordError struct {
	Problem string
}

// Error names the problem.
func (e *RecordError) Error() string { return "membertable: " + e.Problem }

// Decode reads and checks a record. It returns a *RecordError.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, &RecordError{err.Error()}
	}
	if len(r.Tables) == 0 || len(r.Tables) > MaxTables {
		return Record{}, &RecordError{fmt.Sprintf("%d tables, must be 1 to %d", len(r.Tables), MaxTables)}
	}
	for i, t := range r.Tables {
		if t.Version == 0 || (i > 0 && t.Version != r.Tables[i-1].Version+1) {
			return Record{}, &RecordError{fmt.Sprintf("version %d out of order", t.Version)}
		}
		if err := t.validate(); err != nil {
			return Record{}, err
		}
	}
	return r, nil
}

func (t Table) validate() error {
	seen := map[string]bool{}
	for _, m := range t.Members {
		if m.Name == "" || m.Domain == "" || seen[m.Name] {
			return &RecordError{fmt.Sprintf("version %d: member %q is empty or listed twice", t.Version, m.Name)}
		}
		seen[m.Name] = true
	}
	return nil
}

// Encode returns the stored form of a record.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// NewestVersion returns the version of the last table, 0 when there is none.
func (r Record) NewestVersion() uint64 {
	if len(r.Tables) == 0 {
		return 0
	}
	return r.Tables[len(r.Tables)-1].Version
}

func (r Record) newestTable() Table {
	if len(r.Tables) == 0 {
		return Table{}
	}
	return r.Tables[len(r.Tables)-1]
}

// withTable returns the record with one more table.
func (r Record) withTable(t Table) Record {
	tables := append(slices.Clone(r.Tables), t)
	if len(tables) > MaxTables {
		tables = tables[len(tables)-MaxTables:]
	}
	return Record{Tables: tables}
}

// next returns the table that follows t with other members. Finished reports
// whether a member that is not in the new table can no longer use an older one.
func (t Table) next(members []Member, finished func(Member) bool) Table {
	out := Table{Version: t.Version + 1, Members: members}
	for _, m := range append(slices.Clone(t.Members), t.FormerMembers...) {
		if !slices.Contains(members, m) && !finished(m) {
			out.FormerMembers = append(out.FormerMembers, m)
		}
	}
	return out
}

// FullShare is the cap that an allotment divides: shares are parts of it.
const FullShare = 1 << 30

// shareTable returns the table as equal shares of Whole.
func (t Table) shareTable() allotment.Table {
	out := allotment.Table{Version: t.Version, Cap: FullShare, Shares: map[string]int64{}}
	for _, m := range t.Members {
		out.Shares[m.ID()] = FullShare / int64(len(t.Members))
	}
	for _, m := range t.FormerMembers {
		out.FormerHolders = append(out.FormerHolders, m.ID())
	}
	return out
}

// homeInstance returns the home of a target under the table; false when it has none.
func (t Table) homeInstance(target, domain string) (Member, bool) {
	members := make([]slots.Member, len(t.Members))
	for i, m := range t.Members {
		members[i] = slots.Member{Name: m.Name, Domain: m.Domain}
	}
	name := slots.HomeInstance(target, domain, members)
	i := slices.IndexFunc(t.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return t.Members[i], true
}
