package relay

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("instance-%d", i)
	}
	return list
}

func position(t *rapid.T, tree *Tree, name string) Position {
	p, found := tree.Position(name)
	if !found {
		t.Fatalf("%s has no position", name)
	}
	return p
}

func TestEachInstanceHasOneParent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := names(rapid.IntRange(1, 300).Draw(t, "n"))
		fanOut := rapid.IntRange(1, 9).Draw(t, "fan-out")
		tree := New("klet", live, fanOut)
		shuffled := rapid.Permutation(live).Draw(t, "order")
		if !slices.Equal(New("klet", append(shuffled, live[0]), fanOut).order, tree.order) {
			t.Fatal("the tree depends on the order of the list")
		}
		parents := make(map[string]string)
		roots := 0
		for _, name := range live {
			p := position(t, tree, name)
			if len(p.Children) > fanOut {
				t.Fatalf("%s has %d children", name, len(p.Children))
			}
			for _, c := range p.Children {
				if parents[c] != "" {
					t.Fatalf("%s has two parents", c)
				}
				parents[c] = name
			}
			if len(p.Ancestors) > tree.Depth() {
				t.Fatalf("%s is %d steps deep, the tree %d", name, len(p.Ancestors), tree.Depth())
			}
			if _, found := p.Parent(); !found {
				roots++
			}
		}
		if roots != 1 || len(parents) != len(live)-1 {
			t.Fatalf("%d roots, %d of %d have parents", roots, len(parents), len(live))
		}
		for child, want := range parents {
			if got, _ := position(t, tree, child).Parent(); got != want {
				t.Fatalf("parent of %s is %s, but %s has it as a child", child, got, want)
			}
		}
	})
}

// A rack fails: many instances stop answering at once while the list still names them. From
// every instance, the chain of sources must lead to an instance that reads the log itself.
func TestSourceSkipsSuspectedAncestors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := names(rapid.IntRange(2, 200).Draw(t, "n"))
		tree := New("klet", live, DefaultFanOut)
		failed := make(map[string]bool)
		for _, name := range live {
			failed[name] = rapid.IntRange(0, 2).Draw(t, "silent") == 0
		}
		suspected := func(name string) bool { return failed[name] }
		for _, name := range live {
			for steps := 0; ; steps++ {
				next, found := position(t, tree, name).Source(suspected)
				if !found {
					break // name reads the log itself
				}
				if failed[next] || steps > tree.Depth() {
					t.Fatalf("%s has the source %s after %d steps", name, next, steps)
				}
				name = next
			}
		}
	})
}

func TestUnlistedInstanceUsesRoot(t *testing.T) {
	is := is.New(t)
	tree := New("klet", names(9), 2)
	p, found := tree.Position("new")
	is.True(!found)
	is.Equal(p.Ancestors, tree.order[:1])
	p, found = New("klet", nil, 2).Position("new")
	is.True(!found)
	is.Equal(len(p.Ancestors), 0)
}

func TestDepth(t *testing.T) {
	tests := map[string]struct{ n, fanOut, want int }{
		"root only":   {n: 1, fanOut: 4, want: 0},
		"small":       {n: 11, fanOut: 4, want: 2},
		"design size": {n: 1900, fanOut: 4, want: 6},
		"one domain":  {n: 19000, fanOut: 4, want: 7},
		"wide":        {n: 1900, fanOut: 16, want: 3},
		"chain":       {n: 5, fanOut: 1, want: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(New("klet", names(tt.n), tt.fanOut).Depth(), tt.want)
		})
	}
}

// BenchmarkNew measures building the tree for a new list of 1900 instances.
func BenchmarkNew(b *testing.B) {
	live := names(1900)
	for b.Loop() {
		New("klet", live, DefaultFanOut)
	}
}

// BenchmarkInstanceLoss reports how many instances get another parent when an instance is lost,
// apart from the children of that instance.
func BenchmarkInstanceLoss(b *testing.B) {
	live := names(1900)
	before := New("klet", live, DefaultFanOut)
	moved, losses := 0, 0
	for b.Loop() {
		lost := losses * 7919 % len(live)
		after := New("klet", slices.Delete(slices.Clone(live), lost, lost+1), DefaultFanOut)
		losses++
		for _, name := range after.order {
			p, _ := before.Position(name)
			q, _ := after.Position(name)
			oldParent, _ := p.Parent()
			newParent, _ := q.Parent()
			if oldParent != newParent && oldParent != live[lost] {
				moved++
			}
		}
	}
	b.ReportMetric(float64(moved)/float64(losses), "other-parents/loss")
}

// BenchmarkUpdateMessages reports the number of messages that one update costs the instances of
// a failure domain.
func BenchmarkUpdateMessages(b *testing.B) {
	for _, fanOut := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprint(fanOut), func(b *testing.B) {
			tree := New("klet", names(1900), fanOut)
			sent, maxMessages := 0, 0
			for b.Loop() {
				sent, maxMessages = 0, 0
				for _, name := range tree.order {
					p, _ := tree.Position(name)
					sent += len(p.Children)
					maxMessages = max(maxMessages, len(p.Children)+min(1, len(p.Ancestors)))
				}
			}
			b.ReportMetric(float64(2*sent)/float64(len(tree.order)), "messages/daemon")
			b.ReportMetric(float64(maxMessages), "most-messages/daemon")
			b.ReportMetric(float64(tree.Depth()), "steps")
		})
	}
}
