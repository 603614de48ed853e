// Package standin runs stand-ins for the platform and for backend servers as separate processes, for demonstrations.
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

// Main runs one stand-in until a signal stops it, and returns the exit code.
func Main(args []string) int {
	parser := flaggy.NewParser("standin")
	parser.Description = "runs a stand-in for the platform or for a backend server"
	listFile := ""
	parser.String(&listFile, "l", "list", "JSON file with the platform list")

	idsCommand := flaggy.NewSubcommand("ids")
	idsCommand.Description = "print the ids of the backend servers in the platform list"
	parser.AttachSubcommand(idsCommand, 1)

	platformCommand := flaggy.NewSubcommand("platform")
	platformCommand.Description = "serve the object store and the platform list"
	address := ""
	platformCommand.String(&address, "a", "address", "IP:port to listen on")
	parser.AttachSubcommand(platformCommand, 1)

	serverCommand := flaggy.NewSubcommand("server")
	serverCommand.Description = "run a stand-in for one backend server in the platform list"
	id, latency := "", 5*time.Millisecond
	serverCommand.String(&id, "i", "id", "id of the backend server")
	serverCommand.Duration(&latency, "t", "latency", "processing time of a request")
	parser.AttachSubcommand(serverCommand, 1)

	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	listing, err := readListing(listFile)
	if err == nil {
		ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer cancel()
		switch {
		case idsCommand.Used:
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

// runPlatform serves the object store and the platform list on one port until ctx ends. Requests to /control/faults and
// /control/list inject faults into them.
func runPlatform(ctx context.Context, address string, listing platform.Listing) error {
	objectStore := store.NewServer(store.NewMemory(store.DefaultReadsPerSecond, store.DefaultWritesPerSecond))
	platformList := platform.NewMemoryList(listing)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/hosts" || r.URL.Path == "/v1/backend-servers" || r.URL.Path == "/control/list" {
			platformList.ServeHTTP(w, r)
			return
		}
		objectStore.ServeHTTP(w, r)
	})
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		// A graceful shutdown would wait for pending watch requests.
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

// runServer runs the stand-in for the backend server id until ctx ends.
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
	return errors.Newf("no backend server %q in the platform list; it contains: %s", id, strings.Join(serverIDs(listing), ", "))
}

func serverIDs(listing platform.Listing) []string {
	var ids []string
	for _, s := range listing.BackendServers {
		ids = append(ids, s.ID)
	}
	return ids
}
