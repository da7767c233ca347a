package lease

import (
	"fmt"
	"reflect"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"example.org/mustardring/internal/follow"
	"example.org/mustardring/internal/logpos"
	"example.org/mustardring/internal/shard"
)

// storeRecordLimit is the size in bytes of the largest record that the store takes.
const storeRecordLimit = 262144

// manyOwners returns a map with one range for each of a number of servers.
func manyOwners(servers, offset int) *shard.Map {
	m := &shard.Map{Fence: uint64(servers)}
	for i := range servers {
		m.Ranges = append(m.Ranges, shard.Range{
			From: uint16(i * shard.NumKeys / servers), To: uint16((i+1)*shard.NumKeys/servers - 1),
			Server: fmt.Sprintf("i-%010x~msyqj33t", i+offset), Fence: uint64(i + 1),
		})
	}
	return m
}

// apply applies records as a read delivers them.
func (v *localView) apply(records []follow.Record, snapshot bool) []error {
	v.mu.Lock()
	end := v.current.End
	v.mu.Unlock()
	for i := range records {
		records[i].Offset = end + logpos.Pos(i)
	}
	_, faults := v.applyUpdate(follow.Update{Snapshot: snapshot, Batch: follow.Batch{Records: records, End: end + logpos.Pos(len(records))}})
	return faults
}

// Guards against owners that cannot be written because their record is larger than the store takes: then no server that
// is lost loses its keys any more.
func TestOwnersFitIntoTheStore(t *testing.T) {
	for _, servers := range []int{100, 6107, 19000, 65536} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			is := is.New(t)
			v := newLocalView()
			owners := manyOwners(servers, 0)
			first, _, err := ownersRecords(keyService+service, &shard.Map{}, owners)
			is.NoErr(err)
			is.Equal(len(v.apply(first, false)), 0)
			is.True(reflect.DeepEqual(v.get().Maps[service], owners))
			next := owners.Clone()
			next.Reassign(servers/2, "other", []shard.Owner{{Server: "former", Address: "10.0.0.1:8000"}})
			second, next, err := ownersRecords(keyService+service, owners, next)
			is.NoErr(err)
			is.True(len(second) <= 2) // a change costs its part, or two if it spans them
			is.Equal(len(v.apply(second, false)), 0)
			is.True(reflect.DeepEqual(v.get().Maps[service], next))
			for _, r := range append(first, second...) {
				is.True(len(r.Value) < storeRecordLimit)
			}
			// Who reads the newest record of each key, in any order, gets the same.
			newest := map[string]follow.Record{}
			for _, r := range append(first, second...) {
				newest[r.Key] = r
			}
			var snapshot []follow.Record
			for _, r := range newest {
				snapshot = append(snapshot, r)
			}
			late := newLocalView()
			_, faults := late.applyUpdate(follow.Update{Snapshot: true, Batch: follow.Batch{Records: snapshot, End: v.get().End}})
			is.Equal(len(faults), 0)
			is.True(reflect.DeepEqual(late.get().Maps[service], next))
		})
	}
}

// Checks that a record of all owners, as earlier releases write it, and records of parts replace each other.
func TestPartsAndWholeRecordsReplaceEachOther(t *testing.T) {
	is := is.New(t)
	v := newLocalView()
	small, large := manyOwners(50, 0), manyOwners(20000, 0)
	large.Fence += 100
	for _, m := range []*shard.Map{small, large, small, large} {
		records, _, err := ownersRecords(keyService+service, &shard.Map{}, m)
		is.NoErr(err)
		is.Equal(len(v.apply(records, false)), 0)
		is.True(reflect.DeepEqual(v.get().Maps[service].Ranges, m.Ranges))
	}
	broken := []follow.Record{{Key: keyService + service + partSeparator + strconv.Itoa(3), Value: []byte("x")}, {Key: keyService + service + partSeparator + strconv.Itoa(5)}}
	is.Equal(len(v.apply(broken, false)), 2)
	is.True(reflect.DeepEqual(v.get().Maps[service].Ranges, large.Ranges))
}
