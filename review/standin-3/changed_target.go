package main

import "time"

func init() { scenarios["changed-target"] = changedTarget }

// changedTarget asks for objects whose names hold a slash, which the client has encoded. With the trouble the names also hold a
// character that a client should have encoded and did not.
func changedTarget(r *record, trouble bool) (broken bool, err error) {
	d, closeAll, err := oneHost(r, "safe", 1500*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer closeAll()
	targets := []string{"/search/a%2Fb%7Cc", "/search/a%2Fb%22c", "/search/a%2Fb%5Ec", "/search/a%2Fb%7Bc%7D"}
	if trouble {
		targets = []string{"/search/a%2Fb|c", "/search/a%2Fb\"c", "/search/a%2Fb^c", "/search/a%2Fb{c}"}
	}
	changed := 0
	for range 5 {
		for _, target := range targets {
			attempt := nextAttempt()
			a := request(d.hosts[0].front(), attempt, target)
			r.note("client sent %s GET %s: %s", attempt, target, a)
			for _, i := range d.instances {
				for _, ran := range i.all() {
					if ran.attempt == attempt && ran.target != target {
						changed++
					}
				}
			}
		}
	}
	r.note("rule: %d requests ran with another path than the client sent; allowed 0", changed)
	return changed > 0, nil
}

// oneHost is a deployment of one host with the route /search/ of a kind and two instances.
func oneHost(r *record, kind string, timeout time.Duration) (d *deployment, closeAll func(), err error) {
	if d, err = newDeployment(r); err != nil {
		return nil, nil, err
	}
	at := place{"zone-a", "north"}
	var instances []*instance
	closeAll = func() {
		d.close()
		for _, i := range instances {
			i.close()
		}
	}
	for _, id := range []string{"i-1", "i-2"} {
		i := &instance{id: id, service: "search", version: "v1", at: at, slots: 20, record: r}
		if err := i.start(d.net + ".100:0"); err != nil {
			closeAll()
			return nil, nil, err
		}
		instances = append(instances, i)
		i.report(d.store)
	}
	d.instances = instances
	d.store.put("config", "main", manifestOf("r1", route{"r-search", "/search/", kind, "search", int(timeout.Milliseconds()), 600}))
	if err := d.startHosts(at); err != nil {
		closeAll()
		return nil, nil, err
	}
	time.Sleep(4 * time.Second)
	return d, closeAll, nil
}
