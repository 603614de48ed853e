// Package standin runs the stand-ins for the platform and for backend servers as processes of their own.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"golang.org/x/sync/errgroup"

	"vanillatally/io/backends"
	"vanillatally/io/platform"
	"vanillatally/io/store"
)

const exitUsage = 2

// Main runs one stand-in until a signal ends it and returns the exit code.
func Main(args []string) int {
	parser := flaggy.NewParser("standin")
	parser.Description = "stands in for the platform or for a backend server"
	list := ""
	parser.String(&list, "l", "list", "JSON file with the platform list")

	ids := flaggy.NewSubcommand("ids")
	ids.Description = "print the ids of the backend servers in the list"
	parser.AttachSubcommand(ids, 1)

	platformCommand := flaggy.NewSubcommand("platform")
	platformCommand.Description = "serve the object store and the platform list"
	address := ""
	platformCommand.String(&address, "a", "address", "IP:port to listen on")
	parser.AttachSubcommand(platformCommand, 1)

	serverCommand := flaggy.NewSubcommand("server")
	serverCommand.Description = "run one backend server of the list"
	id, latency := "", 5*time.Millisecond
	serverCommand.String(&id, "i", "id", "id of the backend server")
	serverCommand.Duration(&latency, "t", "latency", "time that a request takes")
	parser.AttachSubcommand(serverCommand, 1)

	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	listing, err := readListing(list)
	if err == nil {
		ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer cancel()
		switch {
		case ids.Used:
			for _, server := range listing.BackendServers {
				fmt.Println(server.ID)
			}
		case platformCommand.Used:
			err = runPlatform(ctx, address, listing)
		case serverCommand.Used:
			err = runServer(ctx, listing, id, latency)
		default:
			parser.ShowHelp()
			return exitUsage
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func readListing(file string) (listing platform.Listing, err error) {
	defer func() { err = errors.Wrapf(err, "platform list %s", file) }()
	data, err := os.ReadFile(file)
	if err != nil {
		return listing, err
	}
	return listing, json.Unmarshal(data, &listing)
}

// runPlatform serves the store and the list on one port; /control/faults and /control/list switch their faults.
func runPlatform(ctx context.Context, address string, listing platform.Listing) error {
	objects := store.NewServer(store.NewMemory(store.DefaultReadsPerSecond, store.DefaultWritesPerSecond))
	lists := platform.NewMemoryList(listing)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/hosts" || r.URL.Path == "/v1/backend-servers" || r.URL.Path == "/control/list" {
			lists.ServeHTTP(w, r)
			return
		}
		objects.ServeHTTP(w, r)
	})
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		// Waiting watches would hold a graceful shutdown up.
		return server.Close()
	})
	group.Go(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return group.Wait()
}

func runServer(ctx context.Context, listing platform.Listing, id string, latency time.Duration) error {
	for _, s := range listing.BackendServers {
		if s.ID != id {
			continue
		}
		server := backends.NewStandIn(backends.StandInOptions{
			ID: s.ID, Service: s.Service, Version: s.Version, Address: s.Address, Slots: s.Slots, Latency: latency,
		})
		if err := server.Start(); err != nil {
			return err
		}
		<-ctx.Done()
		server.Stop()
		return nil
	}
	return errors.Newf("no backend server %q in the list; known: %s", id, strings.Join(serverIDs(listing), ", "))
}

func serverIDs(listing platform.Listing) []string {
	var ids []string
	for _, s := range listing.BackendServers {
		ids = append(ids, s.ID)
	}
	return ids
}
