package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// machine is what the site file states of a machine.
type machine struct {
	memoryMB, descriptors int
	cpuShare              float64
}

// host is one process of the system on a machine of its own address.
type host struct {
	*environment
	machine
	name, ip, zone                        string
	caller, ready, lookup, operator, peer string
	// store is the address of the store, and seeds a list of quoted addresses.
	store, seeds, file string
	command            *exec.Cmd
	exited             chan struct{}
	starts             int
}

// started holds all processes of hosts that the case has started.
var started processes

type processes struct {
	mu  sync.Mutex
	all []*os.Process
}

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, process)
}

// killAll ends the processes. The lock is kept, so that no further one is started.
func (p *processes) killAll() {
	p.mu.Lock()
	for _, process := range p.all {
		// An error means that the process has ended.
		_ = process.Kill()
	}
}

// zones are the zones of the deployment with their regions.
var zones = map[string]string{"sj-a": "cr-central", "sj-b": "cr-central", "lib-a": "cr-pacifico"}

// freePort returns a port that is free at all the addresses.
func freePort(ips ...string) (port int, err error) {
	for range 100 {
		first, err := net.Listen("tcp4", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port = first.Addr().(*net.TCPAddr).Port
		if err := first.Close(); err != nil {
			return 0, err
		}
		if isFree(port, ips) {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

func isFree(port int, ips []string) bool {
	for _, ip := range ips {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		packets, err := net.ListenPacket("udp4", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			_ = listener.Close()
			return false
		}
		if errors.CombineErrors(listener.Close(), packets.Close()) != nil {
			return false
		}
	}
	return true
}

// newHosts prepares one host in each of the zones, with the same ports on all of them.
func newHosts(e *environment, m machine, s *store, inZones ...string) (hosts []*host, err error) {
	ips := make([]string, len(inZones))
	for i := range inZones {
		ips[i] = fmt.Sprintf("127.0.1.%d", i+1)
	}
	var ports [5]int
	for i := range ports {
		if ports[i], err = freePort(ips...); err != nil {
			return nil, err
		}
	}
	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, strconv.Quote(net.JoinHostPort(ip, strconv.Itoa(ports[3]))))
	}
	for i, zone := range inZones {
		at := func(port int) string { return net.JoinHostPort(ips[i], strconv.Itoa(port)) }
		h := &host{
			environment: e, machine: m, name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: ips[i], zone: zone,
			caller: at(ports[0]), ready: at(ports[1]), lookup: at(ports[2]), operator: at(ports[3]), peer: at(ports[4]),
			file: filepath.Join(e.folder, fmt.Sprintf("settings-%d.toml", i)),
		}
		h.seeds, h.store = strings.Join(seeds, ","), s.address
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// writeSettings writes the settings file: the lines of deploy/entry.toml.template with the values of the site file. Bootstrap is set
// only when the whole system starts for the first time.
func (h *host) writeSettings() error {
	bootstrap := ""
	if h.starts == 0 {
		bootstrap = "first-start = true\n"
	}
	text := fmt.Sprintf("host = %q\nregion = %q\nfailure-domain = %q\ncaller-address = %q\nready-address = %q\n"+
		"lookup-address = %q\noperator-address = %q\npeer-address = %q\nstore-endpoint = %q\nmemory-bytes = %de6\n"+
		"cpu-share = %g\ncores = 1\nlink-mbps = 1000.0\n%sseeds = [%s]\n[limits]\nlookup-ttl = \"2s\"\n"+
		"grace = \"6s\"\nretry-share = 0.2\nretry-slack = 58\nrate-slack = 20\nexposure-share = 0.1\n[regions]\n",
		h.name, zones[h.zone], h.zone, h.caller, h.ready, h.lookup, h.operator, h.peer, "http://"+h.store, h.memoryMB, h.cpuShare,
		bootstrap, h.seeds)
	for name, region := range zones {
		text += fmt.Sprintf("%s = %q\n", name, region)
	}
	return os.WriteFile(h.file, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file, with the machine's limit of descriptors.
func (h *host) start() error {
	if err := h.writeSettings(); err != nil {
		return err
	}
	h.starts++
	h.command = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" entry`, h.descriptors), h.program)
	h.command.Env = []string{"VANILLATALLY_BOOT=" + h.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	output, err := os.OpenFile(filepath.Join(h.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	h.command.Stdout, h.command.Stderr = output, output
	if err := h.command.Start(); err != nil {
		return err
	}
	started.add(h.command.Process)
	exited := make(chan struct{})
	command := h.command
	h.exited = exited
	time.AfterFunc(0, func() {
		// The state of the process tells how it ended.
		_ = command.Wait()
		close(exited)
	})
	h.write("host %s starts as process %d", h.name, h.command.Process.Pid)
	return nil
}

// running reports whether the process has not ended.
func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// kill ends the process.
func (h *host) kill() {
	if h.exited == nil {
		return
	}
	// An error means that the process has ended.
	_ = h.command.Process.Signal(syscall.SIGKILL)
	<-h.exited
}

// status returns a figure of the kernel's status page of the process in bytes, such as VmRSS.
func (h *host) status(field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0
			}
			return kilobytes << 10
		}
	}
	return 0
}

// awaitReady waits until the readiness check of the host answers 200.
func (h *host) awaitReady(ctx context.Context) error {
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/v1/ready", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				h.write("host %s is ready", h.name)
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}
