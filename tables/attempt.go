package tables

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// call is one call to the platform with its retry rules.
type call struct {
	step        string // identifies the call in errors
	method      string
	path        string
	body        []byte
	contentType string
	// write selects the write budget. A lost response leaves the outcome of a
	// write unknown.
	write bool
	// retry allows more than one attempt.
	retry bool
}

// outcome is the result of one attempt. It determines whether the call is
// retried, and whether an error reports the outcome of a write as unknown.
type outcome int

const (
	succeeded outcome = iota
	// notApplied means that the attempt certainly had no effect.
	notApplied
	// unknown means that the attempt may have had an effect.
	unknown
	// permanent means that a retry would end the same way.
	permanent
)

// do sends the request of a call, retries it where that is allowed, and returns
// the body of the response.
func (c *Client) do(ctx context.Context, call call) ([]byte, error) {
	maxAttempts := 1
	if call.retry {
		maxAttempts += c.config.Retries
	}
	var lastErr error
	outcomeUnknown := false
	attempts := 0
	for attempts < maxAttempts {
		if attempts > 0 {
			c.config.Sleep(ctx, retryDelay(attempts-1))
		}
		if err := c.takeBudget(ctx, call.write); err != nil {
			lastErr = errors.Join(lastErr, err)
			break
		}
		attempts++
		body, outcome, err := c.attempt(ctx, call)
		if outcome == succeeded {
			return body, nil
		}
		lastErr = err
		if outcome == permanent {
			outcomeUnknown = false
			break
		}
		outcomeUnknown = outcomeUnknown || outcome == unknown
	}
	if outcomeUnknown && call.write {
		lastErr = fmt.Errorf("%w: %w", ErrUnknown, lastErr)
	}
	return nil, eris.Wrapf(lastErr, "step=%s peer=%s attempts=%d", call.step, c.peer, attempts)
}

// takeBudget takes one attempt from the read or write budget.
func (c *Client) takeBudget(ctx context.Context, write bool) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	budget := c.budget(write)
	if c.config.WaitForBudget {
		return budget.Wait(ctx)
	}
	if !budget.Allow() {
		return ErrBudget
	}
	return nil
}

func (c *Client) budget(write bool) *rate.Limiter {
	if write {
		return c.writeBudget
	}
	return c.readBudget
}

// attempt sends the request once.
func (c *Client) attempt(ctx context.Context, call call) ([]byte, outcome, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(call.method)
	req.SetRequestURI(c.config.URL)
	req.URI().SetPath(call.path)
	req.Header.SetContentType(call.contentType)
	req.Header.Set(HeaderInstance, c.config.Instance)
	req.SetBodyRaw(call.body)
	if err := c.http.DoDeadline(req, resp, c.deadline(ctx)); err != nil {
		return nil, classifyError(err), err
	}
	outcome, err := classifyStatus(resp.StatusCode())
	if err != nil {
		return nil, outcome, err
	}
	return append([]byte(nil), resp.Body()...), succeeded, nil
}

func (c *Client) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(c.config.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}

// classifyError returns the outcome of an attempt that got no response.
func classifyError(err error) outcome {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return notApplied
	}
	return unknown
}

// classifyStatus returns the outcome that the status code of a response stands
// for.
func classifyStatus(status int) (outcome, error) {
	switch {
	case status >= 200 && status < 300:
		return succeeded, nil
	case status == fasthttp.StatusNotFound:
		return permanent, ErrNotFound
	case status == fasthttp.StatusConflict:
		return permanent, ErrConflict
	case status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable:
		return notApplied, fmt.Errorf("status %d", status)
	case status >= 500:
		return unknown, fmt.Errorf("status %d", status)
	}
	return permanent, fmt.Errorf("status %d", status)
}

// doJSON makes a call with a JSON body and decodes the response.
func doJSON[T any](ctx context.Context, c *Client, call call, request any) (T, error) {
	var response T
	body, err := json.Marshal(request)
	if err != nil {
		return response, eris.Wrapf(err, "step=%s peer=%s", call.step, c.peer)
	}
	call.method = fasthttp.MethodPost
	call.body = body
	call.contentType = "application/json"
	responseBody, err := c.do(ctx, call)
	if err != nil {
		return response, err
	}
	if err := json.Unmarshal(responseBody, &response); err != nil {
		if call.write {
			err = fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		return response, eris.Wrapf(err, "step=%s peer=%s", call.step, c.peer)
	}
	return response, nil
}
