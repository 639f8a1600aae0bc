package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"cowslipflow/cowslipentry"
	"cowslipflow/cowsliptarget"
)

// maxAnswerBytes limits the size of an answer that the client reads.
const maxAnswerBytes = 64 << 20

// httpClient calls the HTTP API of an entry instance. The token and the CA file are
// optional.
type httpClient struct {
	url, token, ca string
	timeout        time.Duration
}

func checkURL(setting, s string) error {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return exitErrorf(exitUsage, "%s: %q is not a URL such as http://127.0.0.1:7600", setting, s)
	}
	return nil
}

// call sends in as JSON and decodes the answer into out. If the instance refuses
// the request, the error is an exitError that holds a *cowslipentry.Refusal.
func (s httpClient) call(method, path string, in, out any) error {
	if err := checkURL("--server", s.url); err != nil {
		return err
	}
	c, err := s.client()
	if err != nil {
		return err
	}
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, s.url+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	if s.token != "" {
		r.Header.Set("Authorization", "Bearer "+s.token)
	}
	p, err := c.Do(r)
	if err != nil {
		return exitErrorf(exitFailed, "no answer from %s: %v", s.url, err)
	}
	defer p.Body.Close()
	if b, err = io.ReadAll(http.MaxBytesReader(nil, p.Body, maxAnswerBytes)); err != nil {
		return exitErrorf(exitFailed, "incomplete answer from %s: %v", s.url, err)
	}
	if !cowsliptarget.IsFinalStatus(p.StatusCode) {
		return exitErrorf(exitFailed, "no answer from %s: %q is not a status", s.url, p.Status)
	}
	if p.StatusCode != http.StatusOK {
		return decodeRefusal(p.StatusCode, b)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return exitErrorf(exitFailed, "answer from %s: %v", s.url, err)
	}
	return nil
}

func (s httpClient) client() (*http.Client, error) {
	if s.ca == "" {
		return http.DefaultClient, nil
	}
	b, err := os.ReadFile(s.ca)
	if err != nil {
		return nil, exitErrorf(exitUsage, "--ca: %v", err)
	}
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(b) {
		return nil, exitErrorf(exitUsage, "--ca: %s contains no certificate", s.ca)
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: p, MinVersion: tls.VersionTLS12}}}, nil
}

func decodeRefusal(status int, b []byte) error {
	var e struct {
		Error struct {
			cowslipentry.Refusal
			Details json.RawMessage `json:"details"`
		} `json:"error"`
	}
	if err := json.Unmarshal(b, &e); err != nil || e.Error.Code == "" {
		return exitErrorf(exitFailed, "status %d: %s", status, b)
	}
	r := e.Error.Refusal
	r.Details = e.Error.Details
	code := exitNotRun
	switch r.Code {
	case cowslipentry.CodeInvalidConfig, cowslipentry.CodeConflict, cowslipentry.CodeKeyReused:
		code = exitRejected
	case cowslipentry.CodeUnknown:
		code = exitUnknown
	case cowslipentry.CodeBadRequest, cowslipentry.CodeUnknownService, cowslipentry.CodeUnknownClass, cowslipentry.CodeUnauthorized:
		code = exitUsage
	}
	return exitError{code: code, err: &r}
}
