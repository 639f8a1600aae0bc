package cowslipentry

import (
	"context"
	"encoding/json"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
)

const (
	// clearingsPrefix is the prefix of the keys through which instances tell each other of
	// requests that were answered although targets had crashed under them.
	clearingsPrefix = "cowslipflow/clearings/"
	// clearingLeaseTTL is how long a clearing stays in the store. Within it, all instances
	// read the store.
	clearingLeaseTTL = time.Minute
	// clearingInterval limits how often an instance tells of the same request.
	clearingInterval = time.Second
)

// decodeClearings returns the clearings among the store's values, with their revisions.
func (e *Entry) decodeClearings(values []cowslipplatform.Value) []cowslipcontrol.SharedClearing {
	var l []cowslipcontrol.SharedClearing
	for _, v := range valuesBelow(values, clearingsPrefix) {
		for _, x := range decodeAll[cowslipcontrol.SharedClearing](e.log, []cowslipplatform.Value{v}) {
			x.Revision = v.Revision
			l = append(l, x)
		}
	}
	return l
}

// shareClearings tells the other instances that the services have answered the request, if
// the store shows that targets of these services had crashed under it: an instance that saw
// such crashes itself would hold the request for as long as they count.
func (f *forward) shareClearings(services map[string]bool) {
	crashed := map[string]bool{}
	for _, s := range decodeAll[cowslipcontrol.SharedCrash](f.log, valuesBelow(f.mirror.Values(), crashesPrefix)) {
		if services[s.Service] && (s.Fingerprint == f.fingerprint || s.Family == f.family || s.Content == f.content) {
			crashed[s.Service] = true
		}
	}
	for n := range crashed {
		k := clearingsPrefix + formatFingerprint(f.fingerprint) + "/" + n
		c := cowslipcontrol.SharedClearing{Fingerprint: f.fingerprint, Family: f.family, Content: f.content, Service: n}
		f.startThrottled(k, clearingInterval, func(ctx context.Context) {
			if err := f.writeClearing(ctx, k, c); err != nil {
				f.log.Info("clearing not shared", "key", k, "reason", err)
			}
		})
	}
}

func (e *Entry) writeClearing(ctx context.Context, key string, c cowslipcontrol.SharedClearing) error {
	t, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	l, err := e.opts.Store.Grant(t, clearingLeaseTTL)
	if err != nil {
		return err
	}
	v, _ := e.mirror.Get(key) // a key that does not exist has revision 0
	_, err = e.opts.Store.Put(t, cowslipplatform.Write{Key: key, Data: b, Expect: v.Revision, Lease: l})
	return err
}
