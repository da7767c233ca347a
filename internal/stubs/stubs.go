package stubs

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"example.org/mustardring/internal/listcl"
	"example.org/mustardring/internal/worker"
)

// Set runs the stand-ins of one process. Log and List are nil if the settings have none.
type Set struct {
	Log     *LogService
	List    *InstanceList
	Servers []*Server

	settings Settings
}

// New returns the stand-ins that the settings name, not started yet.
func New(s Settings) *Set {
	set := &Set{settings: s}
	if s.Log != nil {
		set.Log = NewLogService(*s.Log)
	}
	listed := make([]listcl.Server, 0, len(s.Servers))
	for _, server := range s.Servers {
		set.Servers = append(set.Servers, NewServer(server))
		listed = append(listed, listcl.Server{Name: server.Name, Service: server.Service, Domain: server.Domain})
	}
	if s.List != nil {
		set.List = NewInstanceList(*s.List, listed)
	}
	return set
}

// Run starts all stand-ins and serves until ctx ends or one of them fails. If one cannot start, it
// stops those that did and returns the error.
func (s *Set) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	group := worker.New(ctx, len(s.Servers)+4)
	err := s.start(ctx, group)
	taken := 0
	if err == nil {
		select {
		case <-ctx.Done():
		case end := <-group.Ends():
			taken, err = 1, end.Err
		}
	}
	cancel()
	return errors.Join(err, group.Wait(taken))
}

func (s *Set) start(ctx context.Context, group *worker.Group) error {
	if s.Log != nil {
		if err := serve(ctx, group, "log", s.settings.Log.Address, s.Log); err != nil {
			return err
		}
	}
	if s.List != nil {
		if err := serve(ctx, group, "list", s.settings.List.Address, s.List); err != nil {
			return err
		}
	}
	for _, server := range s.Servers {
		ended, err := server.Start(ctx)
		if err != nil {
			return err
		}
		group.Go("server "+server.settings.Name, func(context.Context) error {
			<-ended
			return nil
		})
	}
	return nil
}

// serve listens at the address and serves the handler until the context of the group ends.
func serve(ctx context.Context, group *worker.Group, name, address string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("stubs: %s: %w", name, err)
	}
	server := &http.Server{Handler: handler}
	group.Go(name+" stop", func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(name, func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("stubs: %s: %w", name, err)
		}
		return nil
	})
	return nil
}
