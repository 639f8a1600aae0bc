// Command third plays the cases of the third review as scripts: it starts the entry instances
// as processes and is the store, the replicas and the requesters itself.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// setup is what a case plays with.
type setup struct {
	dir, program string
	trouble      bool
	log          *record
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: third CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) (status int) {
	cases := map[string]func(*setup) int{"drill": drillCase, "redo": redoCase, "orders": ordersCase}
	f := cases[name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return failed
	}
	program, err := filepath.Abs("target/cowslipflow")
	if err != nil {
		return failed
	}
	dir, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	x := &setup{dir: dir, program: program, trouble: os.Getenv("TROUBLE") != "0", log: newRecord(filepath.Join(folder, "record.txt"))}
	defer x.log.file.Close()
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", r)
			status = failed
		}
	}()
	return f(x)
}
