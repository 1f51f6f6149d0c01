package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"gentianstand/internal/client"
	"gentianstand/internal/entry"
	"gentianstand/internal/planner"
	"gentianstand/internal/run"
	"gentianstand/internal/standin/worker"
)

// The limits of a check.
const (
	stepTimeout   = 12 * time.Second
	checkRequests = 50
	pollPeriod    = 25 * time.Millisecond
)

// step is one condition of a check. Its run function returns a figure to print.
type step struct {
	name string
	run  func(ctx context.Context) (string, error)
}

// Check applies the sample text, sends requests, waits for its runs, and reports whether every
// step succeeded. It prints one line per step and stops at the first failure.
func Check(ctx context.Context, sys *System, out io.Writer) bool {
	c := checker{sys: sys, client: client.New(sys.Instances[0], "", "dev", stepTimeout)}
	for _, s := range c.steps() {
		started := time.Now()
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		figure, err := s.run(stepCtx)
		cancel()
		took := time.Since(started).Round(time.Millisecond)
		if err != nil {
			fmt.Fprintf(out, "FAILED  %-34s %8s  %v\n", s.name, took, err)
			return false
		}
		fmt.Fprintf(out, "ok      %-34s %8s  %s\n", s.name, took, figure)
	}
	return true
}

type checker struct {
	sys    *System
	client *client.Client
}

func (c *checker) steps() []step {
	return []step{
		{"instances are ready", c.ready},
		{"a text is accepted", c.apply},
		{"it is in force everywhere", c.inForce},
		{"the service's replicas run", c.service},
		{"requests are answered whole", c.requests},
		{"the batch run succeeds", func(ctx context.Context) (string, error) { return c.runEnds(ctx, "letters") }},
		{"the job succeeds", func(ctx context.Context) (string, error) { return c.runEnds(ctx, "routes") }},
		{"no promise was broken", c.checkViolations},
	}
}

func (c *checker) ready(ctx context.Context) (string, error) {
	for _, address := range c.sys.Instances {
		err := poll(ctx, func() error { return get(ctx, address, "/readyz", nil) })
		if err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d instances", len(c.sys.Instances)), nil
}

func (c *checker) apply(ctx context.Context) (string, error) {
	var result entry.ApplyResult
	err := c.client.Do(ctx, http.MethodPost, "/v1/config", nil, nil, []byte(Sample), &result)
	return fmt.Sprintf("configuration %d", result.Number), err
}

func (c *checker) inForce(ctx context.Context) (string, error) {
	for _, address := range c.sys.Instances {
		instance := client.New(address, "", "dev", stepTimeout)
		err := poll(ctx, func() error {
			var st entry.Status
			if err := instance.Do(ctx, http.MethodGet, "/v1/status", nil, nil, nil, &st); err != nil {
				return err
			}
			if st.Config < 1 {
				return fmt.Errorf("%s has configuration %d", address, st.Config)
			}
			return nil
		})
		if err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d instances", len(c.sys.Instances)), nil
}

func (c *checker) service(ctx context.Context) (string, error) {
	err := poll(ctx, func() error {
		s, err := c.summary(ctx, "casedesk")
		if err == nil && s.Running < s.Tasks {
			err = fmt.Errorf("%d of %d replicas run: %s", s.Running, s.Tasks, s.Reason)
		}
		return err
	})
	return "3 replicas", err
}

func (c *checker) requests(ctx context.Context) (string, error) {
	for n := range checkRequests {
		address := c.sys.Instances[n%len(c.sys.Instances)]
		path := fmt.Sprintf("/s/casedesk/cases/%d", n)
		err := poll(ctx, func() error {
			return get(ctx, address, path, func(body string) error {
				if !strings.HasPrefix(body, fmt.Sprintf("GET cases/%d from worker-", n)) {
					return fmt.Errorf("the answer of another request: %q", body)
				}
				return nil
			})
		})
		if err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d requests through %d instances", checkRequests, len(c.sys.Instances)), nil
}

func (c *checker) runEnds(ctx context.Context, workload string) (string, error) {
	var s planner.Summary
	err := poll(ctx, func() error {
		var err error
		s, err = c.summary(ctx, workload)
		if err == nil && !s.State.Final() {
			err = fmt.Errorf("%s is %s: %d of %d tasks succeeded: %s", workload, s.State, s.Succeeded, s.Tasks, s.Reason)
		}
		return err
	})
	if err == nil && s.State != run.Succeeded {
		err = fmt.Errorf("%s has %s: %s", workload, s.State, s.Reason)
	}
	return fmt.Sprintf("%d tasks", s.Succeeded), err
}

func (c *checker) summary(ctx context.Context, workload string) (planner.Summary, error) {
	var list []planner.Summary
	if err := c.client.Do(ctx, http.MethodGet, "/v1/runs", nil, nil, nil, &list); err != nil {
		return planner.Summary{}, err
	}
	for _, s := range list {
		if s.Workload == workload {
			return s, nil
		}
	}
	return planner.Summary{}, fmt.Errorf("%s has no run yet", workload)
}

func (c *checker) checkViolations(context.Context) (string, error) {
	events := c.sys.Record.Events()
	if violations := worker.Violations(events); len(violations) > 0 {
		return "", fmt.Errorf("%s", strings.Join(violations, "; "))
	}
	return fmt.Sprintf("%d events on the workers' record", len(events)), nil
}

// poll calls f until it succeeds or ctx ends, and returns the last error of f.
func poll(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollPeriod):
		}
	}
}

func get(ctx context.Context, address, path string, check func(body string) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := new(strings.Builder)
	if err := copyBody(body, resp); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: status %d: %s", address, path, resp.StatusCode, body)
	}
	if check == nil {
		return nil
	}
	return check(body.String())
}

func copyBody(dst io.Writer, resp *http.Response) error {
	_, err := io.Copy(dst, resp.Body)
	return err
}
