package backends

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// Guards against a connection that counts as open for ever after a panic during its exchange, so that the pool runs out of
// connections.
func TestPanicDuringExchangeReleasesConnection(t *testing.T) {
	server := newRawServer(t, "")
	client := New(Options{DisablePings: true, MaxConnections: 1})
	request, err := http.NewRequest(http.MethodGet, "http://"+server.address+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	func() {
		defer func() {
			if recover() != "slow" {
				t.Error("the exchange did not pass on the panic")
			}
		}()
		_, _ = client.Do(ctx, server.address, &Request{
			HTTP: request, Deadline: time.Now().Add(10 * time.Second), SlowAfter: time.Millisecond,
			OnSlow: func(func()) bool {
				// The server answers the first request that it reads with nothing.
				<-server.requests
				cancel()
				panic("slow")
			},
		})
	}()
	if response, failure := server.do(t, client, "GET", "2"); failure != nil || string(response.Body) != "whole" {
		t.Errorf("the next request got response %+v, failure %v", response, failure)
	}
}
