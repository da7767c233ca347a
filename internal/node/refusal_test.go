package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against instances that are registered a second time because the store refuses before they have read that they are.
func TestRefusalInTheMiddleOfAStart(t *testing.T) {
	is := is.New(t)
	const instances = 300
	r := startTogether(t, instances, 1000, time.Second, 20*time.Second)
	is.Equal(r.waiting, 0)
	is.True(r.records <= maxRecords(instances))
}
