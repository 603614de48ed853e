package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

func init() { cases["late-beat"] = lateBeat }

const (
	// heartbeatInterval is HeartbeatMs of the site file and drainTime its DrainMs.
	heartbeatInterval = 1500 * time.Millisecond
	drainTime         = 2500 * time.Millisecond
	// lateBy is the time after which the store executes a write whose answer was lost: 1 to 6 s.
	lateBy = 6 * time.Second
	// servesOn is the time for which an instance serves on after DrainMs.
	servesOn = 450 * time.Millisecond
)

// lateBeat lets one instance leave after the answer to one of its reports was lost. The store executes that report late, after the
// one that says that the instance drains. The rule is DRAIN: no request that a client sent later than DrainMs after the machine had
// passed on an answer with Server-Leaving reaches that instance, and none does so later than DrainMs after the store's
// acknowledgement of the draining.
func lateBeat(ctx context.Context, e *environment) (verdict, error) {
	d, err := startDeployment(ctx, e, siteMachine, 2, 200*time.Millisecond, "sj-a")
	if err != nil {
		return "", err
	}
	defer d.stop()
	h, leaving := d.hosts[0], d.instances[0]
	asked, stopAsking := context.WithCancel(ctx)
	defer stopAsking()
	var callers errgroup.Group
	var results []result
	callers.Go(func() error {
		var each errgroup.Group
		defer func() { _ = each.Wait() }()
		for asked.Err() == nil {
			each.Go(func() error {
				got := send(e.record, h.caller, http.MethodPost, "/post/1", 2500*time.Millisecond)
				e.mu.Lock()
				defer e.mu.Unlock()
				results = append(results, got)
				return nil
			})
			time.Sleep(25 * time.Millisecond)
		}
		return nil
	})
	beat := func(state string) {
		text := leaving.beat(state)
		d.store.put("servers", leaving.id, text)
		e.write("instance %s reports %s, the store acknowledges it", leaving.id, text)
	}
	time.Sleep(time.Second)
	// The last report before the instance leaves; the store is calm from StableWindowMs later on.
	stale := leaving.beat("ready")
	var late errgroup.Group
	if e.trouble {
		e.write("instance %s reports %s, the store's answer is lost", leaving.id, stale)
		late.Go(func() error {
			time.Sleep(lateBy)
			d.store.put("servers", leaving.id, stale)
			e.write("the store executes the report %s", stale)
			return nil
		})
	} else {
		d.store.put("servers", leaving.id, stale)
		e.write("instance %s reports %s, the store acknowledges it", leaving.id, stale)
	}
	time.Sleep(heartbeatInterval)
	beat("ready")
	time.Sleep(heartbeatInterval)
	beat("ready")
	time.Sleep(stableWindow + 50*time.Millisecond - 2*heartbeatInterval)
	leaving.mu.Lock()
	leaving.leaving = true
	leaving.mu.Unlock()
	beat("draining")
	acknowledged := time.Now()
	time.Sleep(heartbeatInterval)
	beat("draining")
	time.Sleep(time.Until(acknowledged.Add(drainTime + servesOn)))
	err = leaving.stop()
	e.write("instance %s exits %.1f s after the acknowledgement", leaving.id, time.Since(acknowledged).Seconds())
	if err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	stopAsking()
	if err := callers.Wait(); err != nil {
		return "", err
	}
	if err := late.Wait(); err != nil {
		return "", err
	}
	return judgeDrain(e, leaving, acknowledged, results)
}

// judgeDrain counts the requests that reached the instance although the rule DRAIN forbids it.
func judgeDrain(e *environment, leaving *instance, acknowledged time.Time, results []result) (verdict, error) {
	told := time.Time{}
	byAttempt := map[string]result{}
	for _, got := range results {
		byAttempt[got.attempt] = got
		if got.header.Get("Server-Leaving") != "" && (told.IsZero() || got.received.Before(told)) {
			told = got.received
		}
	}
	if told.IsZero() {
		return "", errors.New("the host has passed on no answer with Server-Leaving")
	}
	e.write("the first answer with Server-Leaving reached a client %.3f s after the acknowledgement", told.Sub(acknowledged).Seconds())
	afterAcknowledgement, afterNotice, lost := 0, 0, 0
	for _, r := range leaving.executions() {
		got := byAttempt[r.attempt]
		late, lateAfterNotice := r.at.Sub(acknowledged) > drainTime, got.sent.Sub(told) > drainTime
		if late {
			afterAcknowledgement++
		}
		if lateAfterNotice {
			afterNotice++
		}
		if (late || lateAfterNotice) && got.status != http.StatusOK {
			lost++
		}
	}
	e.write("%d requests reached %s later than DrainMs after the acknowledgement", afterAcknowledgement, leaving.id)
	e.write("%d requests, sent later than DrainMs after the answer with Server-Leaving, reached %s", afterNotice, leaving.id)
	e.write("%d of these requests failed", lost)
	if afterAcknowledgement+afterNotice > 0 {
		return verdict(fmt.Sprintf("more than %v after its draining was acknowledged %d requests reached the instance, %d of them sent as long "+
			"after an answer with Server-Leaving; %d were lost", drainTime, afterAcknowledgement, afterNotice, lost)), nil
	}
	return "", nil
}
