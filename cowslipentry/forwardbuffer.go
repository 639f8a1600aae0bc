package cowslipentry

import "cowslipflow/cowsliptarget"

// holdResponse keeps the response of an attempt in the buffers until the request ends, or
// releases it if the request has ended.
func (f *forward) holdResponse(x forwardResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		x.response.Release()
		return
	}
	if f.responses == nil {
		f.responses = map[int]cowsliptarget.Response{}
	}
	f.responses[x.attempt] = x.response
}

// handOver returns the response of an attempt, which the receiver of the reply must
// release.
func (f *forward) handOver(attempt int) cowsliptarget.Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.responses, attempt)
	return f.attempts[attempt].response
}

func (f *forward) releaseResponses() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	for _, r := range f.responses {
		r.Release()
	}
}
