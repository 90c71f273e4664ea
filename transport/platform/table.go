package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// tableClient implements Table.
type tableClient struct{ c *Client }

func (t *tableClient) strip(it Item) Item {
	it.Key = strings.TrimPrefix(it.Key, t.c.cfg.Prefix)
	return it
}

// Get implements Table.
func (t *tableClient) Get(ctx context.Context, key string) (Item, error) {
	k := call{
		op:     "table get",
		method: http.MethodGet,
		path:   PathItem,
		query:  url.Values{"key": {t.c.cfg.Prefix + key}},
		limit:  t.c.cfg.MaxTable,
	}
	a, err := t.c.do(ctx, k)
	if err != nil {
		return Item{}, err
	}
	if a.status != http.StatusOK {
		return Item{}, k.failure(a)
	}
	var it Item
	if err := k.decode(a, &it); err != nil {
		return Item{}, err
	}
	return t.strip(it), nil
}

// List implements Table.
func (t *tableClient) List(ctx context.Context, prefix, after string, limit int) ([]Item, error) {
	k := call{
		op:     "table list",
		method: http.MethodGet,
		path:   PathList,
		query:  listQuery(t.c.cfg.Prefix+prefix, t.c.cfg.Prefix+after, limit),
		limit:  t.c.cfg.MaxTable,
	}
	a, err := t.c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, k.failure(a)
	}
	var v ItemsResponse
	if err := k.decode(a, &v); err != nil {
		return nil, err
	}
	for i := range v.Items {
		v.Items[i] = t.strip(v.Items[i])
	}
	return v.Items, nil
}

// Transact implements Table.
func (t *tableClient) Transact(ctx context.Context, writes []Write) ([]uint64, error) {
	req := TransactRequest{Writes: make([]Write, len(writes))}
	for i, w := range writes {
		w.Key = t.c.cfg.Prefix + w.Key
		req.Writes[i] = w
	}
	body, err := json.Marshal(&req)
	if err != nil {
		return nil, errors.Wrap(err, "encode transaction")
	}
	k := call{
		op:     "table transact",
		write:  true,
		method: http.MethodPost,
		path:   PathTransact,
		body:   body,
		limit:  t.c.cfg.MaxTable,
	}
	a, err := t.c.do(ctx, k)
	if err != nil {
		return nil, err
	}
	return t.transacted(k, a)
}

func (t *tableClient) transacted(k call, a answer) ([]uint64, error) {
	switch a.status {
	case http.StatusOK:
		var v TransactResponse
		if err := k.decode(a, &v); err != nil {
			return nil, err
		}
		return v.Revisions, nil
	case http.StatusConflict:
		var v ConditionResponse
		if err := k.decode(a, &v); err != nil {
			return nil, err
		}
		it := t.strip(v.Item)
		return nil, &ConditionError{Key: it.Key, Current: it}
	default:
		return nil, k.failure(a)
	}
}
