package cowslipentry

import (
	"context"
	"encoding/json"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
)

const (
	// withdrawalsPrefix is the prefix of the keys that show which versions get no requests.
	withdrawalsPrefix = "cowslipflow/withdrawals/"
	// withdrawalLeaseTTL is how long such a key stays in the store. While the version has
	// targets, it is written again.
	withdrawalLeaseTTL = 10 * time.Minute
	// withdrawalInterval limits how often an instance writes the same key.
	withdrawalInterval = time.Second
)

// decodeWithdrawals returns the withdrawals among the store's values, with their revisions.
func (e *Entry) decodeWithdrawals(values []cowslipplatform.Value) []cowslipcontrol.Withdrawal {
	return decodeRevisions(e, values, withdrawalsPrefix, func(w *cowslipcontrol.Withdrawal, revision cowslipplatform.Revision) { w.Revision = revision })
}

// shareWithdrawals writes withdrawals that the store does not show.
func (e *Entry) shareWithdrawals(l []cowslipcontrol.Withdrawal) {
	for _, w := range l {
		k := withdrawalsPrefix + keyPart(w.Service) + "/" + keyPart(w.Version)
		e.startThrottled(k, withdrawalInterval, func(ctx context.Context) {
			if err := e.writeWithdrawal(ctx, k, w); err != nil {
				e.log.Info("withdrawal not shared", "key", k, "reason", err)
			}
		})
	}
}

func (e *Entry) writeWithdrawal(ctx context.Context, key string, w cowslipcontrol.Withdrawal) error {
	b, err := json.Marshal(w)
	if err != nil {
		return err
	}
	t, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	l, err := e.opts.Store.Grant(t, withdrawalLeaseTTL)
	if err != nil {
		return err
	}
	if w.Revision, err = e.opts.Store.Put(t, cowslipplatform.Write{Key: key, Data: b, Expect: w.Revision, Lease: l}); err != nil {
		return err
	}
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.WithdrawalWritten(w) })
	return nil
}
