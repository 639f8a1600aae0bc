package cowslipconfig

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indexLines maps each path of the text, such as "services[1].deadline", to
// its line. The text has been decoded before, so the parser meets no error.
func indexLines(text []byte) map[string]int {
	l := map[string]int{}
	n := map[string]int{}
	prefix := ""
	p := &unstable.Parser{}
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		line := 0
		k := e.Key()
		var names []string
		for k.Next() {
			x := k.Node()
			if line == 0 {
				line = p.Shape(x.Raw).Start.Line
			}
			names = append(names, string(x.Data))
		}
		path := joinKey(names)
		switch e.Kind {
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", path, n[path])
			n[path]++
			l[prefix] = line
		case unstable.Table:
			prefix = path
			l[prefix] = line
		case unstable.KeyValue:
			if prefix != "" {
				path = prefix + "." + path
			}
			l[path] = line
		}
	}
	return l
}

func joinKey(k []string) string { return strings.Join(k, ".") }
