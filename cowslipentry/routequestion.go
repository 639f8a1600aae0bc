package cowslipentry

import (
	"net/http"
)

// RouteQuestion is the body of POST /v1/route: a request whose way is to be explained.
type RouteQuestion struct {
	Method  string              `json:"method"`
	URL     string              `json:"url"`
	Headers map[string][]string `json:"headers,omitempty"`
	Body    string              `json:"body,omitempty"`
	Caller  string              `json:"caller,omitempty"`  // address of the caller
	Service string              `json:"service,omitempty"` // for routes to several services: the one whose candidates are listed
}

// request returns the request in the form in which callers' requests are forwarded. Parse is that
// of the platform, or nil. Errors do not repeat what was given, as it may contain a key.
func (q RouteQuestion) request(parse func(*http.Request) (Request, error)) (Request, *Refusal) {
	r, err := http.NewRequest(q.Method, q.URL, nil)
	if err != nil || r.URL.Host == "" {
		return Request{}, refuse(CodeBadRequest, "the method is malformed, or the URL is not one such as http://host/path")
	}
	for n, l := range q.Headers {
		for _, v := range l {
			r.Header.Add(n, v)
		}
	}
	if h := r.Header.Get("Host"); h != "" {
		r.Host = h
		r.Header.Del("Host")
	}
	if r.URL.Path == "" {
		r.URL.Path = "/"
	}
	r.RequestURI, r.RemoteAddr = r.URL.RequestURI(), q.Caller
	x := Request{Method: r.Method, Host: r.Host, Path: r.URL.EscapedPath(), URI: r.RequestURI, Header: r.Header, Caller: q.Caller}
	if parse != nil {
		if x, err = parse(r); err != nil {
			return Request{}, refuse(CodeBadRequest, err.Error())
		}
	}
	x.Body = []byte(q.Body)
	return x, nil
}
