package cowslipconfig

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indexLines maps the path of each key and table, such as "services[1].deadline",
// to its line number. Parser errors are ignored, as the source has been decoded
// successfully before.
func indexLines(source []byte) map[string]int {
	l := map[string]int{}
	n := map[string]int{}
	prefix := ""
	p := &unstable.Parser{}
	p.Reset(source)
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
