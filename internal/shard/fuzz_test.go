package shard

import "testing"

// Whatever bytes stand in a record of owners, they are a map of all keys or an error, and what
// another instance tells of changes leaves it one.
func FuzzDecode(f *testing.F) {
	m := &Map{Fence: 3, Ranges: []Range{{From: 0, To: 99, Server: "a", Fence: 2}, {From: 100, To: NumKeys - 1, Server: "b", Fence: 3, FormerOwners: []Owner{{Server: "a"}}}}}
	data, err := m.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data, uint16(5), uint16(7))
	f.Add([]byte{}, uint16(0), uint16(0))
	f.Add([]byte{0x93, 3, 0x90, 0x91, 0x94, 0, 0xd0, 0x80, 0, 0xc0}, uint16(9), uint16(3))
	f.Fuzz(func(t *testing.T, data []byte, from, to uint16) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		for _, key := range []uint16{0, from, to, NumKeys - 1} {
			if i := m.Find(key); len(m.Ranges) > 0 && (i < 0 || m.Ranges[i].From > key || m.Ranges[i].To < key) {
				t.Errorf("key %d is in range %d of %+v", key, i, m.Ranges)
			}
		}
		changed, err := m.WithChanges(m.Fence+1, []Range{{From: from, To: to, Server: "c", Fence: m.Fence + 1}})
		if err != nil {
			return
		}
		if i := changed.Find(from); i < 0 || changed.Ranges[i].Server != "c" {
			t.Errorf("key %d did not change: %+v", from, changed.Ranges)
		}
	})
}
