package cowslipplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cowslipflow/cowsliptarget"

	"github.com/juju/errors"
)

// maxReplyBytes limits the size of a reply. It leaves room for a value of 1 MB in
// base64 with its envelope, or for a list of many small values.
const maxReplyBytes = 16 << 20

type httpStore struct {
	base   string
	client string
	http   *http.Client
}

// NewHTTP returns a Store that uses the protocol of docs/PLATFORM.md with the
// server at the base URL, such as "http://127.0.0.1:7600". The client name is sent
// with each call, for the platform's accounting.
func NewHTTP(base, client string) *Store {
	s := &httpStore{base: base, client: client, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	return &Store{
		Get:       s.get,
		Put:       s.put,
		Delete:    s.remove,
		List:      s.list,
		Watch:     s.watch,
		Grant:     s.grant,
		KeepAlive: s.keepAlive,
		Revoke:    s.revoke,
		Instances: s.instances,
	}
}

func (s *httpStore) get(ctx context.Context, key string) (Value, error) {
	var v Value
	err := s.call(ctx, http.MethodGet, "/v1/kv", url.Values{"key": {key}}, nil, &v)
	return v, err
}

func (s *httpStore) put(ctx context.Context, w Write) (Revision, error) {
	var v Value
	err := s.call(ctx, http.MethodPut, "/v1/kv", nil, w, &v)
	return v.Revision, err
}

func (s *httpStore) remove(ctx context.Context, key string, expect Revision) error {
	q := url.Values{"key": {key}, "expect": {strconv.FormatUint(expect.Number(), 10)}}
	return s.call(ctx, http.MethodDelete, "/v1/kv", q, nil, nil)
}

func (s *httpStore) list(ctx context.Context, prefix string) ([]Value, error) {
	var v []Value
	err := s.call(ctx, http.MethodGet, "/v1/list", url.Values{"prefix": {prefix}}, nil, &v)
	return v, err
}

func (s *httpStore) watch(ctx context.Context, key string, after Revision, wait time.Duration) (Value, error) {
	q := url.Values{"key": {key}, "after": {strconv.FormatUint(after.Number(), 10)}, "wait": {wait.String()}}
	var v Value
	err := s.call(ctx, http.MethodGet, "/v1/watch", q, nil, &v)
	return v, err
}

func (s *httpStore) grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var v struct{ ID Lease }
	err := s.call(ctx, http.MethodPost, "/v1/leases", url.Values{"ttl": {ttl.String()}}, nil, &v)
	return v.ID, err
}

func (s *httpStore) keepAlive(ctx context.Context, l Lease) error {
	return s.lease(ctx, http.MethodPut, l)
}

func (s *httpStore) revoke(ctx context.Context, l Lease) error {
	return s.lease(ctx, http.MethodDelete, l)
}

func (s *httpStore) lease(ctx context.Context, method string, l Lease) error {
	err := s.call(ctx, method, "/v1/leases", url.Values{"id": {strconv.FormatUint(l.ID(), 10)}}, nil, nil)
	if errors.Is(err, ErrNotFound) {
		return ErrLeaseExpired
	}
	return err
}

func (s *httpStore) instances(ctx context.Context) ([]Instance, error) {
	var v []Instance
	err := s.call(ctx, http.MethodGet, "/v1/instances", nil, nil, &v)
	return v, err
}

func (s *httpStore) call(ctx context.Context, method, path string, q url.Values, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Annotate(err, "cowslipplatform: encode request body")
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, s.base+path+"?"+q.Encode(), body)
	if err != nil {
		return errors.Annotate(err, "cowslipplatform: create request")
	}
	r.Header.Set("X-Client", s.client)
	p, err := s.http.Do(r)
	if err != nil {
		return errors.Annotate(err, "cowslipplatform: send request")
	}
	defer p.Body.Close()
	if !cowsliptarget.IsFinalStatus(p.StatusCode) {
		return errors.Errorf("cowslipplatform: %s %s: %q is not a status", method, path, p.Status)
	}
	b, err := io.ReadAll(http.MaxBytesReader(nil, p.Body, maxReplyBytes))
	if err != nil {
		return errors.Annotate(err, "cowslipplatform: read reply")
	}
	switch p.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	default:
		return errors.Errorf("cowslipplatform: %s %s: status %d", method, path, p.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return errors.Annotate(err, "cowslipplatform: decode reply")
	}
	return nil
}
