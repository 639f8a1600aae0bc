package cowslipquery_test

import (
	"fmt"

	"cowslipflow/cowslipquery"
)

func ExampleCover() {
	c := cowslipquery.Cover([]cowslipquery.Range{{Lo: 0, Hi: 16384}, {Lo: 32768, Hi: 65536}})
	fmt.Println(c.Fraction, c.Missing)
	// Output: 0.75 [{16384 32768}]
}
