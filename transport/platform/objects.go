package platform

import (
	"context"
	"net/http"
	"strings"
)

// objectsClient implements Objects.
type objectsClient struct{ c *Client }

func (o *objectsClient) path(key string) string { return PathObjects + "/" + o.c.cfg.Prefix + key }

// Put implements Objects.
func (o *objectsClient) Put(ctx context.Context, key string, body []byte) error {
	k := call{
		op:     "object put",
		write:  true,
		method: http.MethodPut,
		path:   o.path(key),
		body:   body,
		limit:  o.c.cfg.MaxTable,
	}
	a, err := o.c.do(ctx, k)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK && a.status != http.StatusNoContent && a.status != http.StatusCreated {
		return k.failure(a)
	}
	return nil
}

// Get implements Objects.
func (o *objectsClient) Get(ctx context.Context, key string) ([]byte, error) {
	k := call{
		op:     "object get",
		method: http.MethodGet,
		path:   o.path(key),
		limit:  o.c.cfg.MaxObject,
	}
	a, err := o.c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	switch a.status {
	case http.StatusOK:
		return a.body, nil
	case http.StatusNotFound:
		return nil, &NotFoundError{Key: key}
	default:
		return nil, k.failure(a)
	}
}

// List implements Objects.
func (o *objectsClient) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	k := call{
		op:     "object list",
		method: http.MethodGet,
		path:   PathObjects,
		query:  listQuery(o.c.cfg.Prefix+prefix, o.c.cfg.Prefix+after, limit),
		limit:  o.c.cfg.MaxTable,
	}
	a, err := o.c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, k.failure(a)
	}
	var v KeysResponse
	if err := k.decode(a, &v); err != nil {
		return nil, err
	}
	for i := range v.Keys {
		v.Keys[i] = strings.TrimPrefix(v.Keys[i], o.c.cfg.Prefix)
	}
	return v.Keys, nil
}

// Delete implements Objects.
func (o *objectsClient) Delete(ctx context.Context, key string) error {
	k := call{
		op:     "object delete",
		write:  true,
		method: http.MethodDelete,
		path:   o.path(key),
		limit:  o.c.cfg.MaxTable,
	}
	a, err := o.c.do(ctx, k)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK && a.status != http.StatusNoContent && a.status != http.StatusNotFound {
		return k.failure(a)
	}
	return nil
}
