package cowsliplog_test

import (
	"strings"
	"testing"

	"cowslipflow/cowsliplog"

	"github.com/stretchr/testify/require"
)

const (
	logOfE1 = `  12.1 front-1 {"time":"2026-12-04T08:00:00Z","level":"INFO","msg":"instanceStarted","instance":"e1"}
{"time":"2026-12-04T08:00:07Z","level":"INFO","msg":"failureDomainCutOff","instance":"e1","subject":"plan"}
not a line of ours
{"time":"2026-12-04T08:00:08Z","level":"INFO","msg":"request","instance":"e1","id":"q1","outcome":"notRun"}
{"time":"2026-12-04T08:00:09Z","level":"INFO","msg":"failureDomainReached","instance":"e1","subject":"plan"}
`
	logOfE2 = `{"time":"2026-12-04T08:00:07.5Z","level":"INFO","msg":"storeLost","instance":"e2"}
{"time":"2026-12-04T08:00:08Z","level":"INFO","msg":"request","instance":"e2","id":"q2","outcome":"failed"}
`
)

func TestStory(t *testing.T) {
	for _, c := range []struct {
		id   string
		want []string
	}{
		{"q1", []string{"e1 failureDomainCutOff", "e1 request"}},
		{"q2", []string{"e2 storeLost", "e2 request"}},
		{"q3", nil},
	} {
		s := &cowsliplog.RequestLog{ID: c.id}
		for _, f := range []string{logOfE2, logOfE1} {
			require.NoError(t, s.Read(strings.NewReader(f)))
		}
		var got []string
		for _, l := range s.Lines() {
			got = append(got, l.Instance+" "+l.Event)
		}
		require.Equal(t, c.want, got)
		require.Equal(t, c.want != nil, s.Found())
	}
}
