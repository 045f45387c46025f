package fulmarsnapshot

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/fulmarbend/fulmarbend/pkg/fulmarcrash"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarera"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrange"
	"github.com/fulmarbend/fulmarbend/pkg/fulmarrelay"
)

// Keys of the records that daemons write.
const (
	LeaderKey  = "fulmarbend/leader"
	TablesKey  = "fulmarbend/ranges"
	FleetKey   = "fulmarbend/fleet"
	CrashesKey = "fulmarbend/crashes"
)

// TermKey returns the key that each election of an era writes together with LeaderKey. A write of an earlier era, which names the
// key of that era in its condition, cannot take effect after the first election of a later one.
func TermKey(e fulmarera.Era) string { return "fulmarbend/term/" + strconv.FormatInt(int64(e), 10) }

// Leader is the record of the daemon that leads.
type Leader struct {
	ID      string `cbor:"id"`
	Address string `cbor:"address"` // at which other daemons reach it
	Nonce   uint64 `cbor:"nonce"`   // distinguishes terms of the same daemon
}

// Encode returns the stored form of the record.
func (l Leader) Encode() ([]byte, error) {
	b, err := cbor.Marshal(l)
	return b, errors.Wrap(err, "fulmarsnapshot: encode leader")
}

// DecodeLeader returns the record of a stored form.
func DecodeLeader(b []byte) (Leader, error) {
	var l Leader
	err := cbor.Unmarshal(b, &l)
	return l, errors.Wrap(err, "fulmarsnapshot: decode leader")
}

// Fleet is the record of what leaders know about the daemons.
type Fleet struct {
	MaxCPUShare float64         `cbor:"strongest"`         // largest usable share of a CPU core
	Daemons     int             `cbor:"daemons,omitempty"` // largest number of daemons so far
	Relays      fulmarrelay.Set `cbor:"relays,omitempty"`
}

// Equal reports whether both records are the same.
func (f Fleet) Equal(o Fleet) bool {
	return f.MaxCPUShare == o.MaxCPUShare && f.Daemons == o.Daemons && f.Relays.Equal(o.Relays)
}

// Encode returns the stored form of the record.
func (f Fleet) Encode() ([]byte, error) {
	b, err := cbor.Marshal(f)
	return b, errors.Wrap(err, "fulmarsnapshot: encode fleet")
}

func decodeFleet(b []byte) (Fleet, error) {
	var f Fleet
	err := cbor.Unmarshal(b, &f)
	return f, errors.Wrap(err, "fulmarsnapshot: decode fleet")
}

// EncodeCrashes returns the stored form of the records of requests that crash targets.
func EncodeCrashes(crashes []fulmarcrash.Aged) ([]byte, error) {
	b, err := cbor.Marshal(crashes)
	return b, errors.Wrap(err, "fulmarsnapshot: encode crashes")
}

func decodeCrashes(b []byte) (crashes []fulmarcrash.Aged, err error) {
	err = cbor.Unmarshal(b, &crashes)
	return crashes, errors.Wrap(err, "fulmarsnapshot: decode crashes")
}

// storedTable is the stored form of one service's table.
type storedTable struct {
	Fence    int64                 `cbor:"fence"`
	Segments []fulmarrange.Segment `cbor:"segments"`
	Extended bool                  `cbor:"extended,omitempty"`
	Writer   Writer                `cbor:"writer"`
}

// Writer identifies the leader that wrote the tables.
type Writer struct {
	Term    fulmarera.Revision `cbor:"term"`
	Address string             `cbor:"address"` // at which other daemons reach it
}

// EncodeTables returns the stored form of the tables by service.
func EncodeTables(writer Writer, tables map[string]fulmarrange.Table) ([]byte, error) {
	out := make(map[string]storedTable, len(tables))
	for name, t := range tables {
		out[name] = storedTable{t.MaxFence(), t.Segments(), t.ExtendedGrants(), writer}
	}
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "fulmarsnapshot: create table encoder")
	}
	b, err := mode.Marshal(out)
	return b, errors.Wrap(err, "fulmarsnapshot: encode tables")
}

// decodeTables returns the tables and the leader that wrote them.
func decodeTables(b []byte) (map[string]fulmarrange.Table, Writer, error) {
	var in map[string]storedTable
	var writer Writer
	if err := cbor.Unmarshal(b, &in); err != nil {
		return nil, writer, errors.Wrap(err, "fulmarsnapshot: decode tables")
	}
	out := make(map[string]fulmarrange.Table, len(in))
	for name, s := range in {
		t, err := fulmarrange.Restore(s.Segments, s.Fence)
		if err != nil {
			return nil, writer, errors.Wrapf(err, "fulmarsnapshot: invalid table of service %s", name)
		}
		out[name] = t.WithExtendedGrants(s.Extended)
		if s.Writer.Term >= writer.Term {
			writer = s.Writer
		}
	}
	return out, writer, nil
}
