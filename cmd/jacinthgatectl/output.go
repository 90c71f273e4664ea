package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
)

// The values of -output.
const (
	formatText = "text"
	formatJSON = "json"
)

// output is where a verb prints: what was asked for to out, all else to err.
type output struct {
	out, err io.Writer
	format   string
}

func (o *output) register(f *flag.FlagSet) {
	f.StringVar(&o.format, "output", formatText, `"text" or "json"`)
	if f.Output() == os.Stderr { // not where the flags are only explained
		f.SetOutput(o.err)
	}
}

// BadFlagError reports a flag value that is not allowed.
type BadFlagError struct {
	// Flag names the flag.
	Flag string
	// Found is its value.
	Found string
	// Allowed says what may be given.
	Allowed string
}

// Error implements error.
func (e *BadFlagError) Error() string {
	return fmt.Sprintf("flag -%s: found %q, allowed: %s", e.Flag, e.Found, e.Allowed)
}

// parse returns the verb's words. Flags may stand after them too. ok is false
// after a fault of the command line was printed.
func (o *output) parse(f *flag.FlagSet) (words []string, ok bool) {
	rest := f.Args()
	for len(rest) > 0 {
		if strings.HasPrefix(rest[0], "-") && rest[0] != stdin {
			if err := f.Parse(rest); err != nil { // f prints it
				return nil, false
			}
			rest = f.Args()
			continue
		}
		words, rest = append(words, rest[0]), rest[1:]
	}
	if o.format != formatText && o.format != formatJSON {
		o.notef("%v", &BadFlagError{Flag: "output", Found: o.format, Allowed: "text or json"})
		return nil, false
	}
	return words, true
}

// usage prints the verb's usage.
func usage(f *flag.FlagSet) subcommands.ExitStatus {
	f.Usage()
	return exitUsage
}

// notef prints a line to standard error.
func (o *output) notef(format string, args ...any) {
	fmt.Fprintf(o.err, "jacinthgatectl: "+format+"\n", args...)
}

// progressf prints a line of progress to standard error.
func (o *output) progressf(format string, args ...any) {
	fmt.Fprintf(o.err, format+"\n", args...)
}

// print writes v as JSON, or calls text with a table writer.
func (o *output) print(v any, text func(w *tabwriter.Writer)) {
	if o.format == formatJSON {
		o.json(v)
		return
	}
	w := tabwriter.NewWriter(o.out, 0, 4, 2, ' ', 0)
	text(w)
	_ = w.Flush() // standard output: nobody is left to tell
}

func (o *output) json(v any) {
	enc := json.NewEncoder(o.out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	_ = enc.Encode(v) // likewise
}
