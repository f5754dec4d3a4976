// Command review3-standin plays the cases of the third review against gannetwelld.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
)

var cases = map[string]func(w *world, trouble bool){}

func main() { os.Exit(play()) }

func play() (code int) {
	name := flag.String("case", "", "the case")
	bin := flag.String("bin", "target/gannetwelld", "the program under review")
	out := flag.String("record", "record.txt", "the record to write")
	keep := flag.String("logs", "", "a folder for settings and logs; a temporary one if empty")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	f := cases[*name]
	if f == nil {
		names := []string{}
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "cases:", names)
		return 2
	}
	bp, err := filepath.Abs(*bin)
	if err == nil {
		_, err = os.Stat(bp)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review3-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(dir) }()
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return 2
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	w := newWorld(rec, bp, dir)
	defer w.close()
	defer func() {
		if r := recover(); r != nil {
			c, ok := r.(cannotRun)
			if !ok {
				panic(r)
			}
			rec.add("the case could not run: %s", string(c))
			fmt.Println("could not run:", string(c))
			code = 2
		}
	}()
	go w.endOnSignal(rec, dir, *keep == "")
	rec.add("case %s, trouble %v", *name, trouble)
	f(w, trouble)
	return w.verdict(*name)
}

// endOnSignal ends the entries and removes the temporary folder when the case is broken off.
func (w *world) endOnSignal(rec *record, dir string, temporary bool) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	rec.add("the case is broken off: %s", <-c)
	w.close()
	if temporary {
		_ = os.RemoveAll(dir)
	}
	rec.close()
	os.Exit(2)
}

// verdict reports the rules broken, all or those that the case is about.
func (w *world) verdict(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.breaks) == 0 {
		w.rec.add("held")
		fmt.Println(name+":", "held")
		return 0
	}
	for i, b := range w.breaks {
		if i < 10 {
			fmt.Println(name+":", "broken", b)
		}
	}
	w.rec.add("broken: %d", len(w.breaks))
	return 1
}
