package tables

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// empty is the request or response of calls that carry no data.
type empty struct{}

// Get implements Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	call := call{step: "get-rows", path: PathGet, retry: true}
	response, err := doJSON[RowsResponse](ctx, c, call, GetRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	if len(response.Rows) != len(keys) {
		return nil, eris.Errorf("step=%s peer=%s: got %d rows for %d keys", call.step, c.peer, len(response.Rows), len(keys))
	}
	return response.Rows, nil
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	call := call{step: "list-rows", path: PathList, retry: true}
	response, err := doJSON[RowsResponse](ctx, c, call, ListRequest{Prefix: prefix})
	return response.Rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, commit Commit) ([]Row, error) {
	call := call{step: "commit", path: PathCommit, write: true, retry: commit.Operation != ""}
	response, err := doJSON[RowsResponse](ctx, c, call, commit)
	return response.Rows, err
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, call{step: "get-object", method: fasthttp.MethodGet, path: PathObjects + name, retry: true})
}

// PutObject implements Objects. It is not retried.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.do(ctx, call{
		step: "put-object", method: fasthttp.MethodPut, path: PathObjects + name,
		body: data, contentType: "application/octet-stream", write: true,
	})
	return err
}

// ListInstances implements Instances.
func (c *Client) ListInstances(ctx context.Context) ([]Instance, error) {
	call := call{step: "list-instances", path: PathInstances, retry: true}
	response, err := doJSON[InstancesResponse](ctx, c, call, empty{})
	return response.Instances, err
}

// Register implements Instances. It is not retried.
func (c *Client) Register(ctx context.Context, i Instance) error {
	_, err := doJSON[empty](ctx, c, call{step: "register", path: PathRegister, write: true}, i)
	return err
}

// Leave implements Instances. It is not retried.
func (c *Client) Leave(ctx context.Context, id string) error {
	_, err := doJSON[empty](ctx, c, call{step: "leave", path: PathLeave, write: true}, LeaveRequest{ID: id})
	return err
}
