package stand_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"example.org/mustardring/internal/listcl"
	"example.org/mustardring/internal/stand"
)

// An instance is replaced: same name, next incarnation. The platform's list shows it after
// the lag, and the late farewell of the old process does not remove the new one.
func TestInstanceListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := listcl.Instance{Name: "a", Incarnation: 1}
		second := listcl.Instance{Name: "a", Incarnation: 2}
		service := stand.NewInstanceList(stand.ListSettings{LagMillis: 3000, Instances: []listcl.Instance{first}}, nil)
		client := listcl.New("http://list", &http.Client{Transport: stand.HandlerTransport{Handler: service}})
		is.NoErr(client.Register(t.Context(), second))
		is.NoErr(client.Gone(t.Context(), first))
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
