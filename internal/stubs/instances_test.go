package stubs_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/listcl"
	"example.org/mustardring/internal/stubs"
)

// A process replaces another of the same name. The list shows it only after the lag, and the late
// report that the old process has ended does not remove the new one.
func TestInstanceListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := listcl.Instance{Name: "a", Incarnation: 1}
		second := listcl.Instance{Name: "a", Incarnation: 2}
		service := stubs.NewInstanceList(stubs.ListSettings{LagMillis: 3000, Instances: []listcl.Instance{first}}, nil)
		client := listcl.New("http://list", &http.Client{Transport: stubs.HandlerTransport{Handler: service}})
		is.NoErr(client.Register(t.Context(), second))
		is.NoErr(client.ReportEnded(t.Context(), first))
		time.Sleep(3*time.Second - time.Nanosecond)
		list, err := client.List(t.Context())
		is.NoErr(err)
		is.Equal(list.Instances, []listcl.Instance{first})
		time.Sleep(time.Nanosecond)
		list, err = client.List(t.Context())
		is.NoErr(err)
		is.Equal(list.Instances, []listcl.Instance{second})
		is.NoErr(client.Leave(t.Context(), second))
		time.Sleep(3 * time.Second)
		list, err = client.List(t.Context())
		is.NoErr(err)
		is.True(list.Instances[0].Leaving)
	})
}
