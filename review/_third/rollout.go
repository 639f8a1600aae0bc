package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// callers send requests through all nodes until they are stopped.
type callers struct {
	stop chan struct{}
	w    sync.WaitGroup
}

// startCallers starts n callers for each node that send a request each interval.
func startCallers(l *record, nodes []*node, n int, interval time.Duration, method, host, path, prefix string, body []byte) *callers {
	c := &callers{stop: make(chan struct{})}
	for i, x := range nodes {
		for k := range n {
			c.w.Go(func() {
				time.Sleep(interval * time.Duration(k) / time.Duration(n))
				for j := 0; ; j++ {
					select {
					case <-c.stop:
						return
					case <-time.After(interval):
					}
					// Each request has a path of its own, so that none is taken for one that crashes replicas.
					id := fmt.Sprintf("%s-%d-%d-%d", prefix, i, k, j)
					x.send(l, method, host, path+id, id, 6*time.Second, body)
				}
			})
		}
	}
	return c
}

func (c *callers) end() {
	close(c.stop)
	c.w.Wait()
}

// rolloutState returns what status/rollout/SERVICE says.
func rolloutState(s *store, service string) (state, version string) {
	i, ok := s.get("status/rollout/" + service)
	if !ok {
		return "", ""
	}
	var x struct {
		State         string `json:"state"`
		TargetVersion string `json:"targetVersion"`
	}
	check(json.Unmarshal(i.Value, &x))
	return x.State, x.TargetVersion
}

// awaitState waits until the status of a rollout to a version has one of the final states.
func awaitState(s *store, service, version string, limit time.Duration) string {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if st, v := rolloutState(s, service); v == version && (st == "completed" || st == "rolled_back") {
			return st
		}
	}
	return ""
}
