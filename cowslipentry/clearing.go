package cowslipentry

import (
	"context"
	"encoding/json"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"

	"github.com/cespare/xxhash/v2"
)

const (
	// clearingsPrefix is the prefix of the keys through which instances tell each other of
	// requests that were answered although targets had crashed under them.
	clearingsPrefix = "cowslipflow/clearings/"
	// clearingLeaseTTL is how long a clearing stays in the store. Within it, all instances
	// read the store.
	clearingLeaseTTL = time.Minute
	// clearingRetryInterval is the time between calls to a store that did not accept what
	// follows from an answer.
	clearingRetryInterval = time.Second
	// maxKeyPartBytes limits the length of a name in a key.
	maxKeyPartBytes = 128
)

// decodeClearings returns the clearings among the store's values, with their revisions.
func (e *Entry) decodeClearings(values []cowslipplatform.Value) []cowslipcontrol.SharedClearing {
	return decodeRevisions(e, values, clearingsPrefix, func(x *cowslipcontrol.SharedClearing, revision cowslipplatform.Revision) { x.Revision = revision })
}

// shareClearings tells the other instances that the services have answered the request, if
// the store shows that targets of these services had crashed under it: an instance that saw
// such crashes itself would hold the request for as long as they count.
func (f *forward) shareClearings(ctx context.Context, services map[string]bool) {
	crashed := map[string]bool{}
	for _, s := range f.decodeHolds(f.mirror.Values()) {
		for _, n := range s.Services {
			crashed[n] = crashed[n] || s.Content == f.content && services[n]
		}
	}
	for _, s := range decodeAll[cowslipcontrol.SharedCrash](f.log, valuesBelow(f.mirror.Values(), crashesPrefix)) {
		if services[s.Service] && s.Content == f.content {
			crashed[s.Service] = true
		}
	}
	for n, ok := range crashed {
		if !ok {
			continue
		}
		k := clearingsPrefix + formatFingerprint(f.fingerprint) + "/" + keyPart(n)
		c := cowslipcontrol.SharedClearing{Fingerprint: f.fingerprint, Family: f.family, Copies: f.copies, Content: f.content, Service: n}
		f.untilAccepted(ctx, "clearing not shared", func(t context.Context) error { return f.writeClearing(t, k, c) })
	}
}

// keyPart returns a part of a key that stands for a name, which may be longer than a key.
func keyPart(name string) string {
	if len(name) <= maxKeyPartBytes {
		return name
	}
	return formatFingerprint(xxhash.Sum64String(name))
}

// writeClearing writes a clearing. It replaces any other one, as each says the same.
func (e *Entry) writeClearing(ctx context.Context, key string, c cowslipcontrol.SharedClearing) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	l, err := e.opts.Store.Grant(ctx, clearingLeaseTTL)
	if err != nil {
		return err
	}
	v, _ := e.mirror.Get(key) // a key that does not exist has revision 0
	_, err = e.opts.Store.Put(ctx, cowslipplatform.Write{Key: key, Data: b, Expect: v.Revision, Lease: l})
	return err
}
