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

// call is one call of the platform with its retries.
type call struct {
	step        string // names the call in errors
	method      string
	path        string
	body        []byte
	contentType string
	// write says which budget the call uses, and that a lost response leaves
	// its outcome unknown.
	write bool
	// retry allows more than one attempt.
	retry bool
}

// result is how one attempt ended.
type result int

const (
	succeeded result = iota
	// refused means that the attempt definitely had no effect.
	refused
	// unknown means that the attempt may have had its effect.
	unknown
	// final means that another attempt would end the same way.
	final
)

// do makes the attempts of a call and returns the body of the response.
func (c *Client) do(ctx context.Context, call call) ([]byte, error) {
	attempts := 1
	if call.retry {
		attempts += c.config.Retries
	}
	var lastErr error
	uncertain := false
	tried := 0
	for tried < attempts {
		if tried > 0 {
			c.config.Sleep(ctx, pause(tried-1))
		}
		if err := c.spend(ctx, call.write); err != nil {
			lastErr = errors.Join(lastErr, err)
			break
		}
		tried++
		body, result, err := c.attempt(ctx, call)
		if result == succeeded {
			return body, nil
		}
		lastErr = err
		if result == final {
			uncertain = false
			break
		}
		uncertain = uncertain || result == unknown
	}
	if uncertain && call.write {
		lastErr = fmt.Errorf("%w: %w", ErrUnknown, lastErr)
	}
	return nil, eris.Wrapf(lastErr, "step=%s peer=%s attempts=%d", call.step, c.peer, tried)
}

// spend takes one attempt from a budget.
func (c *Client) spend(ctx context.Context, write bool) error {
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
		return c.writes
	}
	return c.reads
}

// attempt sends the request once.
func (c *Client) attempt(ctx context.Context, call call) ([]byte, result, error) {
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
		return nil, lost(err), err
	}
	result, err := judge(resp.StatusCode())
	if err != nil {
		return nil, result, err
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

// lost tells whether an attempt without a response may have had its effect.
func lost(err error) result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return refused
	}
	return unknown
}

// judge tells what the status of a response means.
func judge(status int) (result, error) {
	switch {
	case status >= 200 && status < 300:
		return succeeded, nil
	case status == fasthttp.StatusNotFound:
		return final, ErrNotFound
	case status == fasthttp.StatusConflict:
		return final, ErrConflict
	case status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable:
		return refused, fmt.Errorf("status %d", status)
	case status >= 500:
		return unknown, fmt.Errorf("status %d", status)
	}
	return final, fmt.Errorf("status %d", status)
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
	answer, err := c.do(ctx, call)
	if err != nil {
		return response, err
	}
	if err := json.Unmarshal(answer, &response); err != nil {
		if call.write {
			err = fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		return response, eris.Wrapf(err, "step=%s peer=%s", call.step, c.peer)
	}
	return response, nil
}
