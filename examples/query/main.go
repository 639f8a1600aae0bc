// Command query sends a query for one service to an entry instance and prints the
// coverage of the answer: go run ./examples/query http://127.0.0.1:7610 diaries
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log"
	"net/http"
	"os"

	"cowslipflow/cowslipentry"
)

func main() {
	if len(os.Args) != 3 {
		log.Fatal("usage: query URL SERVICE")
	}
	b, err := json.Marshal(cowslipentry.QueryRequest{Service: os.Args[2], Query: "household 4711"})
	if err != nil {
		log.Fatal(err)
	}
	r, err := http.Post(os.Args[1]+"/v1/query", "application/json", bytes.NewReader(b))
	if err != nil {
		log.Fatal(err)
	}
	defer r.Body.Close()
	var a cowslipentry.QueryAnswer
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		log.Fatal(err)
	}
	for _, s := range a.Answers {
		fmt.Printf("%s: %d items, coverage %.2f%%\n", s.Service, len(s.Items), 100*s.Coverage.Fraction)
	}
}
