package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["endless-heads"] = endlessHeads }

const (
	// machineMemory is MemoryMb of the sheet.
	machineMemory = 284e6
	// endlessInstances of allInstances answer with a head that does not end: a share of 0.5.
	allInstances, endlessInstances = 48, 24
	// endlessAtOnce is the number of header lines that such an instance sends at once; one more follows each endlessInterval.
	endlessAtOnce   = 12500
	endlessInterval = 100 * time.Millisecond
	// readsPerSecond is the number of requests per second, for readObjects objects.
	readsPerSecond, readObjects = 450, 48
	// holders is the number of clients that send unsafe requests one after the other, each on a channel that it keeps. lostBound is
	// what the rule LOST allows.
	holders, lostBound = 12, 3
	// refusedPause is how long such a client waits after a refusal.
	refusedPause = 300 * time.Millisecond
	// quietTime and endlessTime are the times before and with the trouble.
	quietTime, endlessTime = 3 * time.Second, 8 * time.Second
)

// anonymousBytes returns the memory of a process without its files: RssAnon.
func anonymousBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kib, _ := strconv.ParseInt(fields[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// distinctHeaders returns n header lines, each with another short name and an empty value.
func distinctHeaders(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var lines strings.Builder
	for i := range n {
		lines.WriteByte(letters[i%len(letters)])
		if i >= len(letters) {
			lines.WriteByte(letters[(i/len(letters)-1)%len(letters)])
		}
		if i >= len(letters)*(len(letters)+1) {
			lines.WriteByte(letters[(i/len(letters)-1)/len(letters)-1])
		}
		lines.WriteString(":\n")
	}
	return lines.String()
}

// endlessServer is an instance that answers with a head that does not end.
type endlessServer struct {
	*instance
	listener net.Listener
	mu       sync.Mutex
	open     []net.Conn
	group    sync.WaitGroup
}

// startEndless listens at a free port of the address.
func startEndless(i *instance, address string) (*endlessServer, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	e := &endlessServer{instance: i, listener: listener}
	i.addr, i.born = listener.Addr().String(), time.Now().UnixMilli()
	e.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.open = append(e.open, conn)
			e.mu.Unlock()
			e.group.Go(func() { e.serve(conn) })
		}
	})
	return e, nil
}

// serve reads one request and sends the beginning of an answer, and then header lines until the caller closes.
func (e *endlessServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	e.ran(r)
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%s", r.Header.Get("Attempt-Id"), distinctHeaders(endlessAtOnce))
	for err == nil {
		time.Sleep(endlessInterval)
		_, err = conn.Write([]byte("x:\n"))
	}
}

func (e *endlessServer) stop() {
	_ = e.listener.Close()
	e.mu.Lock()
	for _, conn := range e.open {
		_ = conn.Close()
	}
	e.mu.Unlock()
	e.group.Wait()
}

// endlessHeads plays two services. Half of the instances of one of them answer with heads without end. Without the trouble they answer
// as the others do. The platform kills the host if it exceeds the memory of its machine.
func endlessHeads(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	at := place{"zone-a", "north"}
	var sound []*instance
	for n := range allInstances + 6 {
		i := &instance{id: fmt.Sprintf("i-%d", n), service: "portfolio", version: "v1", at: at, slots: 9, record: r}
		if n >= allInstances {
			i.service = "bookings"
			sound = append(sound, i)
		}
		i.work = func() time.Duration { return 660 * time.Millisecond }
		if trouble && n < endlessInstances {
			e, err := startEndless(i, d.net+".100:0")
			if err != nil {
				return false, err
			}
			defer e.stop()
		} else if err := i.start(d.net + ".100:0"); err != nil {
			return false, err
		}
		defer i.close()
		i.report(d.store)
	}
	d.store.put("config", "main", manifestOf("r1", route{"r-view", "/view/", "safe", "portfolio", 5000, 2500},
		route{"r-hold", "/hold/", "unsafe", "bookings", 5000, 2500}))
	if err := d.startHosts(at); err != nil {
		return false, err
	}
	h := d.hosts[0]
	time.Sleep(quietTime)
	stop := make(chan struct{})
	var group sync.WaitGroup
	sendReads(r, &group, h.front(), stop)
	unanswered := make(chan string, holders)
	for range holders {
		group.Go(func() { hold(r, h.front(), "/hold/1", stop, unanswered) })
	}
	killed, peak := false, int64(0)
	for end := time.Now().Add(endlessTime); time.Now().Before(end) && !killed; time.Sleep(100 * time.Millisecond) {
		now := anonymousBytes(h.cmd.Process.Pid)
		peak = max(peak, now)
		if killed = now > machineMemory; killed {
			r.note("platform: the process has %d MB, its machine %d MB; it is killed", now/1e6, int64(machineMemory/1e6))
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
	}
	close(stop)
	group.Wait()
	close(unanswered)
	lost := 0
	for attempt := range unanswered {
		if ranAt(sound, attempt) {
			lost++
		}
	}
	r.note("rule: %d requests of kept channels ran at sound instances and got no answer; allowed %d; peak memory %d MB of %d MB",
		lost, lostBound, peak/1e6, int64(machineMemory/1e6))
	return lost > lostBound, nil
}

// ranAt reports whether one of the instances began to work on the request.
func ranAt(instances []*instance, attempt string) bool {
	for _, i := range instances {
		for _, a := range i.all() {
			if a.attempt == attempt {
				return true
			}
		}
	}
	return false
}

// sendReads sends safe requests on new channels, readsPerSecond of them, until stop is closed.
func sendReads(r *record, group *sync.WaitGroup, address string, stop <-chan struct{}) {
	group.Go(func() {
		ticker := time.NewTicker(time.Second / readsPerSecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			group.Go(func() {
				attempt := nextAttempt()
				r.note("%s: %s", attempt, request(address, attempt, fmt.Sprintf("/view/%d", n%readObjects)))
			})
		}
	})
}

// hold sends unsafe requests one after the other on one channel until stop is closed or the channel ends. Then it passes the id of the
// unanswered request on.
func hold(r *record, address, target string, stop <-chan struct{}, unanswered chan<- string) {
	c, err := dial(address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	for {
		attempt := nextAttempt()
		_, _ = c.Write([]byte(head("POST", target, attempt, 6000, "Content-Length: 0\r\n")))
		a := c.read(attempt, "POST", 7*time.Second)
		r.note("hold %s: %s", attempt, a)
		if a.err != nil {
			unanswered <- attempt
			return
		}
		pause := time.Duration(0)
		if a.status != http.StatusOK {
			pause = refusedPause
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}
