// Willowctl is the operators' client. It checks configurations and settings files, sends, reads and compares configurations,
// explains how a request is routed, controls rollouts, saves snapshots, and shows the updates that a controller or an agent sends
// to its subscribers.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/go-faster/jx"

	"willowsill/decide/clusterstate"
	"willowsill/decide/registry"
	"willowsill/decide/routeconfig"
	"willowsill/deployment/settings"
	"willowsill/transport/controlclient"
)

// command is a subcommand with its usage text.
type command struct {
	name, args, description, example string // a command whose args begin with [ checks their number itself
	run                              func(ctx context.Context, f *flags, args []string) error
}

// flags holds the values of the flags, which all subcommands share, and the standard output.
type flags struct {
	*flag.FlagSet
	control         string
	watch           string
	revision        string
	timeout         time.Duration
	rolloutDuration time.Duration
	json            bool
	out             io.Writer
}

func (f *flags) controlClient() *controlclient.Client {
	return &controlclient.Client{Addresses: strings.FieldsFunc(f.control, func(r rune) bool { return r == ',' })}
}

var commands = []command{
	{"check", "FILE", "says what is wrong with a configuration (JSON) or a settings file (TOML)", "willowctl check next.json", check},
	{"read", "", "prints the newest configuration", "willowctl -control 10.0.0.4:8080 read", read},
	{"send", "FILE", "sends a configuration until it is acknowledged or refused", "willowctl -control 10.0.0.4:8080 -revision auto send next.json", send},
	{"diff", "A B", "says what configuration B has otherwise than A; - stands for the newest", "willowctl -control 10.0.0.4:8080 diff - next.json", diff},
	{"explain", "HOST PATH", "says which route of the newest configuration takes a request, and to which services", "willowctl -control 10.0.0.4:8080 explain hall.example /scan/x", explain},
	{"rollout", "[begin SERVICE VERSION|watch SERVICE|abort SERVICE|history]",
		"moves a service's traffic to another version of its replicas, follows that, takes it back, or lists what was done",
		"willowctl -control 10.0.0.4:8080 -over 10m rollout begin till-catalogue v42", rollout},
	{"show", "", "shows what a controller or an agent tells its followers", "willowctl -watch 10.0.0.4:7081 show", show},
	{"snapshot", "save|verify|restore FILE", "keeps the newest configuration in a file, says whether a file is whole, or gives it to a system that has none",
		"willowctl -control 10.0.0.4:8080 snapshot save monday.json", snapshot},
	{"watch", "", "the same, and then a line a change", "willowctl -watch 10.0.0.4:7081 watch", watch},
}

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

func execute(args []string, out, errs io.Writer) int {
	f := &flags{FlagSet: flag.NewFlagSet("willowctl", flag.ContinueOnError), out: out}
	f.SetOutput(errs)
	f.StringVar(&f.control, "control", "", "control `addresses` of controllers, separated by commas")
	f.StringVar(&f.watch, "watch", "", "`address` where a controller or an agent is followed: its IP and the second internal port")
	f.StringVar(&f.revision, "revision", "", "for send: the `number` to send under instead of the file's; auto for one above the newest")
	f.DurationVar(&f.timeout, "within", 10*time.Second, "how long to try")
	f.DurationVar(&f.rolloutDuration, "over", 0, "for rollout begin: the `time` that it may take")
	f.BoolVar(&f.json, "json", false, "print JSON")
	f.Usage = func() {
		fmt.Fprintln(errs, "willowctl is the operators' client of willowsill.")
		fmt.Fprintln(errs)
		for _, c := range commands {
			fmt.Fprintf(errs, "  willowctl [flags] %s %s\n      %s\n      %s\n", c.name, c.args, c.description, c.example)
		}
		fmt.Fprintln(errs)
		f.PrintDefaults()
	}
	if err := f.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	at := slices.IndexFunc(commands, func(c command) bool { return c.name == f.Arg(0) })
	if at < 0 || !strings.HasPrefix(commands[at].args, "[") && f.NArg()-1 != len(strings.Fields(commands[at].args)) {
		f.Usage()
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if !slices.Contains(f.Args()[:min(f.NArg(), 2)], "watch") { // watch runs until it is interrupted
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, f.timeout)
		defer cancel()
	}
	if err := commands[at].run(ctx, f, f.Args()[1:]); err != nil {
		fmt.Fprintln(errs, err)
		if errors.As(err, &usageError{}) {
			return 2
		}
		return 1
	}
	return 0
}

// usageError marks errors in the command line or in a given file, which end the program with exit code 2; all others end it with 1.
type usageError struct{ error }

func asUsageError(err error) error { return usageError{err} }

// loadConfiguration returns the configuration in a file and its bytes, or the newest one of the controllers if file is "-".
func loadConfiguration(ctx context.Context, f *flags, file string) (*routeconfig.Configuration, []byte, error) {
	var body []byte
	var err error
	if file == "-" {
		body, err = f.controlClient().ReadConfiguration(ctx)
	} else {
		body, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, nil, err
	}
	c, err := routeconfig.Read(body)
	if err != nil {
		return nil, nil, asUsageError(fmt.Errorf("%s: %w", file, err))
	}
	return c, body, nil
}

func check(ctx context.Context, f *flags, args []string) error {
	if strings.HasSuffix(args[0], ".toml") {
		if _, err := settings.Read(args[0]); err != nil {
			return asUsageError(err)
		}
	} else if _, _, err := loadConfiguration(ctx, f, args[0]); err != nil {
		return err
	}
	fmt.Fprintln(f.out, args[0], "is in order")
	return nil
}

func read(ctx context.Context, f *flags, _ []string) error {
	body, err := f.controlClient().ReadConfiguration(ctx)
	if err == nil {
		_, err = fmt.Fprintf(f.out, "%s\n", body)
	}
	return err
}

func send(ctx context.Context, f *flags, args []string) error {
	c, body, err := loadConfiguration(ctx, f, args[0])
	if err != nil {
		return err
	}
	revision := c.Revision
	switch f.revision {
	case "":
	case "auto":
		newest, _, err := loadConfiguration(ctx, f, "-")
		if err != nil {
			return err
		}
		revision = newest.Revision + 1
	default:
		if revision, err = strconv.ParseUint(f.revision, 10, 64); err != nil {
			return asUsageError(fmt.Errorf("-revision: %w", err))
		}
	}
	if body, err = renumber(body, revision); err != nil {
		return err
	}
	if err := f.controlClient().SendConfiguration(ctx, body); err != nil {
		return err
	}
	fmt.Fprintf(f.out, "revision %d is acknowledged\n", revision)
	return nil
}

// renumber returns the JSON of a configuration with another revision; all other values keep their bytes.
func renumber(body []byte, revision uint64) ([]byte, error) {
	e := jx.Encoder{}
	e.ObjStart()
	err := jx.DecodeBytes(body).Obj(func(d *jx.Decoder, key string) error {
		raw, err := d.Raw()
		if err != nil {
			return err
		}
		e.FieldStart(key)
		if key == "revision" {
			e.UInt64(revision)
		} else {
			e.Raw(raw)
		}
		return nil
	})
	e.ObjEnd()
	return e.Bytes(), err
}

func diff(ctx context.Context, f *flags, args []string) error {
	a, _, err := loadConfiguration(ctx, f, args[0])
	if err != nil {
		return err
	}
	b, _, err := loadConfiguration(ctx, f, args[1])
	if err != nil {
		return err
	}
	lines := routeconfig.Diff(a, b)
	if f.json {
		return json.NewEncoder(f.out).Encode(lines)
	}
	for _, l := range lines {
		fmt.Fprintln(f.out, l)
	}
	return nil
}

func explain(ctx context.Context, f *flags, args []string) error {
	c, _, err := loadConfiguration(ctx, f, "-")
	if err != nil {
		return err
	}
	path, _, _ := strings.Cut(args[1], "?")
	r := c.Find(args[0], path)
	if r == nil {
		return fmt.Errorf("revision %d has no route for %s%s: it is answered 404", c.Revision, args[0], path)
	}
	if f.json {
		return json.NewEncoder(f.out).Encode(map[string]any{"revision": c.Revision, "route": r})
	}
	kind := "safe: may run more than once"
	if r.Unsafe {
		kind = "unsafe: runs at most once a try"
	}
	fmt.Fprintf(f.out, "revision %d, route %s (%s%s)\n%s; %d ms at most, %d ms for the full worth, %d replicas a try\n", c.Revision, r.Name,
		r.Host, r.Prefix, kind, r.DeadlineMs, r.TargetMs, r.Tries)
	if len(r.Fanout) > 0 {
		fmt.Fprintf(f.out, "one replica of each of %s; the %d greatest records, from %g of the shards at least\n",
			strings.Join(r.Fanout, ", "), r.ResultCount, r.MinCoverage)
	}
	for _, t := range r.Targets {
		fmt.Fprintf(f.out, "service %s, weight %g\n", t.Service, t.Weight)
	}
	return nil
}

var phaseNames = map[registry.Phase]string{registry.Ready: "ready", registry.Draining: "draining", registry.Silent: "silent", registry.Gone: "gone"}

func show(ctx context.Context, f *flags, _ []string) error {
	return controlclient.Watch(ctx, f.watch, func(n clusterstate.Update) bool {
		if f.json {
			json.NewEncoder(f.out).Encode(n)
			return false
		}
		slices.SortFunc(n.Replicas, func(a, b registry.Record) int {
			return strings.Compare(a.Service+a.ID, b.Service+b.ID)
		})
		fmt.Fprintf(f.out, "revision %d (%d bytes), %d edges (%d at the most of late), %d controllers, %d replicas\n", n.Revision, len(n.Body),
			len(n.Fleet.Edges), n.Fleet.Most, len(n.Fleet.Controllers), len(n.Replicas))
		w := tabwriter.NewWriter(f.out, 0, 4, 2, ' ', 0)
		for _, ip := range n.Fleet.Controllers {
			fmt.Fprintf(w, "controller\t%s\n", ip)
		}
		for _, e := range n.Fleet.Edges {
			fmt.Fprintf(w, "edge\t%s\t%s\n", e.IP, e.Zone)
		}
		for _, r := range n.Replicas {
			fmt.Fprintf(w, "replica\t%s\t%s\t%s\t%s\t%s\tcall %d\n", r.ID, r.Service, r.Zone, r.Address, phaseNames[r.Phase], r.Seq)
		}
		w.Flush()
		return false
	})
}

func watch(ctx context.Context, f *flags, _ []string) error {
	state := clusterstate.NewState()
	return controlclient.Watch(ctx, f.watch, func(n clusterstate.Update) bool {
		fresh := state.Apply(n)
		at := time.Now().Format(time.RFC3339)
		if f.json {
			json.NewEncoder(f.out).Encode(fresh)
			return true
		}
		if fresh.Revision > 0 {
			fmt.Fprintf(f.out, "%s revision %d\n", at, fresh.Revision)
		}
		for _, r := range fresh.Replicas {
			fmt.Fprintf(f.out, "%s replica %s of %s at %s is %s\n", at, r.ID, r.Service, r.Address, phaseNames[r.Phase])
		}
		if !fresh.Fleet.Empty() {
			fmt.Fprintf(f.out, "%s %d edges, controllers %s\n", at, len(fresh.Fleet.Edges), strings.Join(fresh.Fleet.Controllers, " "))
		}
		return true
	})
}
