package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// hostProcess is one entry host, run with the command of the deploy file.
type hostProcess struct {
	name                                  string
	file                                  string
	caller, ready, lookup, operator, peer string
	command                               *exec.Cmd
	ended                                 chan struct{}
}

// hostSettings are the values that the template of the settings takes from the platform's settings file.
type hostSettings struct {
	region, zone string
	memoryMB     int
}

// newHost prepares a host at a loopback address of its own; startHost starts it. The ports are the same at all hosts.
func (r *run) newHost(name string, settings hostSettings) (*hostProcess, error) {
	if len(r.ports) == 0 {
		ports, err := freePorts(5)
		if err != nil {
			return nil, err
		}
		r.ports = ports
	}
	address := func(port int) string { return fmt.Sprintf("127.0.0.%d:%d", 2+len(r.hosts), r.ports[port]) }
	h := &hostProcess{
		name: name, caller: address(0), ready: address(1), lookup: address(2), operator: address(3), peer: address(4),
		file: filepath.Join(r.dir, name+".toml"),
	}
	seed := h.operator
	if len(r.hosts) > 0 {
		seed = r.hosts[0].operator
	}
	text := fmt.Sprintf(`host = %q
region = %q
failure-domain = %q
caller-address = %q
ready-address = %q
lookup-address = %q
operator-address = %q
peer-address = %q
store-endpoint = "http://%s"
memory-bytes = %de6
first-start = true
seeds = [%q]

[limits]
lookup-ttl = "2s"
grace = "6s"
retry-share = 0.2
retry-slack = 58
rate-slack = 20
exposure-share = 0.1

[regions]
%s = %q
`, name, settings.region, settings.zone, h.caller, h.ready, h.lookup, h.operator, h.peer, r.store.address, settings.memoryMB,
		seed, settings.zone, settings.region)
	if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.hosts = append(r.hosts, h)
	return h, nil
}

// startHost starts the process of a host, as the platform does.
func (r *run) startHost(h *hostProcess) error {
	log, err := os.OpenFile(filepath.Join(r.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.command = exec.Command("target/vanillatally", "entry")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VANILLATALLY_BOOT=" + h.file}
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), h.command
	h.ended = ended
	r.note("host %s starts", h.name)
	go func() {
		defer close(ended)
		err := command.Wait()
		_ = log.Close()
		r.note("host %s ended: %v, %v", h.name, command.ProcessState, err)
	}()
	return nil
}

// isReady asks the host whether it is ready, as the platform does.
func (h *hostProcess) isReady() bool {
	response, err := http.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startReadyHosts prepares and starts n hosts of one zone, and waits until they are ready.
func (r *run) startReadyHosts(n int, settings hostSettings) error {
	for i := range n {
		if _, err := r.newHost(fmt.Sprintf("front-a-%d", i+1), settings); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if err := r.startHost(h); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if !until(15*time.Second, h.isReady) {
			return errors.New("a host is not ready 15 s after its start")
		}
		r.note("host %s is ready", h.name)
	}
	return nil
}

// stopHosts kills the host processes that still run.
func (r *run) stopHosts() {
	for _, h := range r.hosts {
		if h.command == nil || h.command.Process == nil {
			continue
		}
		_ = h.command.Process.Signal(syscall.SIGKILL)
		<-h.ended
		if text, err := os.ReadFile(filepath.Join(r.dir, h.name+".log")); err == nil && os.Getenv("HOSTLOG") != "" {
			fmt.Println(strings.TrimSpace(string(text)))
		}
	}
}

// freePorts returns n ports that are free at the loopback addresses of the hosts.
func freePorts(n int) (ports []int, err error) {
	for range n {
		listener, err := net.Listen("tcp4", "0.0.0.0:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
