package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/dgram"
)

// Guards against a leader that makes plans from the reports of a part of the instances, or of the previous release, as if it
// knew all.
func TestLeaderLearnsFromReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoadTracker(true)
		report := func(counts, answers []uint16) {
			l.add(dgram.LoadReport{
				Name: "a", Service: "books", Keys: []uint16{7}, Counts: counts,
				Servers: []string{"slow", "fast", "new", "b", "c", "d"}, Capacities: []float64{5, 15, 0, 10, 10, 10}, Answers: answers,
			}, time.Now())
		}
		report([]uint16{2}, []uint16{3, 3, 0})
		is.Equal(l.load("books"), nil) // others may not have reported yet
		shares, others := l.rejectRates("books")
		is.Equal(len(shares), 0) // the previous release states no rejections
		is.Equal(others, 0.0)
		is.Equal(l.workTimes("books"), nil)
		capacities := l.capacities("books")
		is.Equal(len(capacities), 2)
		is.True(capacities["slow"] < 7 && capacities["fast"] > 13)

		for range 8 {
			time.Sleep(minLoadAge / 2)
			report([]uint16{2}, []uint16{5, 5, 0, 5, 5, 5})
			l.learn(dgram.ServerReport{Service: "books", Servers: []string{"slow", "fast"}, Rejected: []uint16{5}, Work: []uint16{0, 0, 0, 20, 20}}, time.Now())
		}
		is.True(l.load("books")[7] > 1)
		shares, _ = l.rejectRates("books")
		is.True(shares["slow"] > 0.3)
		is.Equal(len(shares), 1)
		is.True(l.workTimes("books").Above(0.9) > 0.4)

		time.Sleep(2 * maxReportGap) // another instance has led
		is.True(l.capacities("books")["slow"] > 5.5)
		report([]uint16{2}, nil)
		is.Equal(l.load("books"), nil)
	})
}

// Guards against reports that are more frequent without the setting, or for longer than there is a reason.
func TestReportsHurry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, off := newLoadTracker(true), newLoadTracker(false)
		hurries := func() bool {
			is.True(!off.hurries("books", time.Now()))
			return l.hurries("books", time.Now())
		}
		l.count("books", 7)
		off.count("books", 7)
		is.True(hurries()) // the service is new
		time.Sleep(hurryTime)
		l.count("books", 7)
		is.True(!hurries())
		l.rejected("books")
		off.rejected("books")
		is.True(hurries())
		is.Equal(len(l.flush("a", func(string) bool { return false })), 0)
		is.Equal(len(l.flush("a", func(string) bool { return true })["books"].Keys), 1) // what was not due is not lost
	})
}
