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
	"sync"
	"syscall"
	"time"
)

// program is the program that the build line of the deploy file makes.
const program = "target/vanillatally"

// place is a failure domain with its region.
type place struct{ zone, region string }

// host is a process of the role entry.
type host struct {
	name  string
	ip    string
	place place
	// store is the address of the store for this host.
	store *door
	ports ports
	file  string
	log   *os.File
	cmd   *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	group sync.WaitGroup
}

// ports are the same on all machines of a deployment.
type ports struct{ front, ready, directory, control, peer int }

func (h *host) front() string     { return fmt.Sprintf("%s:%d", h.ip, h.ports.front) }
func (h *host) directory() string { return fmt.Sprintf("%s:%d", h.ip, h.ports.directory) }
func (h *host) ready() string     { return fmt.Sprintf("%s:%d", h.ip, h.ports.ready) }

// deployment is a set of hosts with their store.
type deployment struct {
	record    *record
	store     *store
	dir       string
	hosts     []*host
	instances []*instance
	// net is the beginning of the addresses.
	net string
}

// deployments holds the deployments that were started.
var (
	deploymentsMu sync.Mutex
	deployments   []*deployment
)

// closeDeployments ends the processes of all deployments.
func closeDeployments() {
	deploymentsMu.Lock()
	defer deploymentsMu.Unlock()
	for _, d := range deployments {
		d.close()
	}
}

// newDeployment makes the store. Addresses are loopback ones that no other run uses at the same time.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	network := fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, 1+os.Getpid()/100%250)
	d := &deployment{record: r, store: newStore(), dir: dir, net: network}
	deploymentsMu.Lock()
	defer deploymentsMu.Unlock()
	deployments = append(deployments, d)
	return d, nil
}

// freePorts returns five ports that are free at the first n addresses of the deployment.
func (d *deployment) freePorts(n int) (p ports, err error) {
	var found [5]int
	for i := range found {
		for {
			listener, err := net.Listen("tcp4", d.net+".1:0")
			if err != nil {
				return p, err
			}
			port := listener.Addr().(*net.TCPAddr).Port
			_ = listener.Close()
			if d.portFree(port, n) {
				found[i] = port
				break
			}
		}
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

func (d *deployment) portFree(port, n int) bool {
	for i := range n {
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", d.net, i+1, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// startHosts starts one host in each place. The settings are those that the template of the deploy file gives for a machine of a
// small deployment.
func (d *deployment) startHosts(places ...place) error {
	p, err := d.freePorts(len(places))
	if err != nil {
		return err
	}
	var regions strings.Builder
	for _, at := range places {
		fmt.Fprintf(&regions, "%s = %q\n", at.zone, at.region)
	}
	seed := fmt.Sprintf("%s.1:%d", d.net, p.control)
	for i, at := range places {
		h := &host{name: fmt.Sprintf("front-%s-%d", at.zone, i+1), ip: fmt.Sprintf("%s.%d", d.net, i+1), place: at, ports: p}
		if h.store, err = d.store.open(d.net + ".200:0"); err != nil {
			return err
		}
		text := fmt.Sprintf("host = %q\nregion = %q\nfailure-domain = %q\ncaller-address = %q\nready-address = %q\nlookup-address = %q\n"+
			"operator-address = \"%s:%d\"\npeer-address = \"%s:%d\"\nstore-endpoint = \"http://%s\"\nmemory-bytes = 284e6\ncpu-share = 0.32\n"+
			"cores = 1\nlink-mbps = 1000\nfirst-start = true\nseeds = [%q]\n\n[limits]\nlookup-ttl = \"2s\"\ngrace = \"6s\"\nretry-share = 0.2\n"+
			"retry-slack = 56\nrate-slack = 20\nexposure-share = 0.1\n\n[regions]\n%s",
			h.name, at.region, at.zone, h.front(), h.ready(), h.directory(), h.ip, p.control, h.ip, p.peer, h.store.addr, seed, regions.String())
		h.file = filepath.Join(d.dir, h.name+".toml")
		if err := os.WriteFile(h.file, []byte(text), 0o600); err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
		if err := h.start(d.dir); err != nil {
			return err
		}
	}
	return d.awaitReady(20 * time.Second)
}

// start starts the process of the host.
func (h *host) start(dir string) error {
	log, err := os.OpenFile(filepath.Join(dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.log, h.ended = log, make(chan struct{})
	h.cmd = exec.Command(program, "entry")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VANILLATALLY_BOOT=" + h.file}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := h.cmd, h.ended
	h.group.Go(func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	})
	return nil
}

// awaitReady waits until all hosts say that they are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for _, h := range d.hosts {
		for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
			if response, err := client.Get("http://" + h.ready() + "/v1/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return errors.New(h.name + " does not get ready")
			}
		}
	}
	return nil
}

// close ends all processes and removes the files. With KEEP set it leaves the folder with the logs.
func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
	}
	d.store.close()
	if os.Getenv("KEEP") != "" {
		d.record.note("logs are kept in %s", filepath.Base(d.dir))
		return
	}
	_ = os.RemoveAll(d.dir)
}
