package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"

	"amaranthturn/core/config"
	"amaranthturn/core/fleet"
	"amaranthturn/io/operator"
)

// queryOptions are the options of commands that query an entry.
type queryOptions struct {
	Entry  string `long:"entry" description:"operator address of any entry" default:"http://127.0.0.1:7002"`
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"output format"`
}

type statusCommand struct {
	queryOptions
	Watch   bool          `long:"watch" description:"refresh until the fleet has converged; waits for an entry that does not respond yet"`
	Every   time.Duration `long:"every" default:"1s" description:"time between refreshes"`
	Timeout time.Duration `long:"timeout" default:"0s" description:"end the watch after this time; 0: when it is interrupted"`
}

func (c *statusCommand) run(p *program, args []string) int {
	if len(args) > 0 {
		return p.usageError("status [--entry URL] [--format table|json] [--watch [--every TIME] [--timeout TIME]]")
	}
	client := operator.NewClient(c.Entry)
	if c.Watch {
		return c.watch(p, client)
	}
	st, err := client.Status(p.ctx)
	if err != nil {
		return p.fail(ExitUsage, err)
	}
	c.print(p, st)
	return exitCode(st)
}

func exitCode(st operator.Status) int {
	if st.Converged {
		return ExitOK
	}
	return ExitFailure
}

func (c *statusCommand) print(p *program, st operator.Status) {
	if c.Format == "json" {
		printJSON(p.out, st)
		return
	}
	PrintStatus(p.out, st)
}

// statusWatch refreshes the state of the fleet until it has converged.
type statusWatch struct {
	c           *statusCommand
	p           *program
	client      *operator.Client
	bar         *progressbar.ProgressBar
	unavailable error // the entry's last error; nil while it responds
}

// watch refreshes until the fleet has converged or the time is over.
func (c *statusCommand) watch(p *program, client *operator.Client) int {
	ctx := p.ctx
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	w := &statusWatch{c: c, p: p, client: client}
	for {
		st, err := client.Status(ctx)
		switch {
		case err == nil:
			w.showProgress(st)
			if st.Converged {
				w.endLine()
				c.print(p, st)
				return ExitOK
			}
		case ctx.Err() != nil: // the request was canceled, which is no news of the entry
		case !operator.IsUnavailable(err):
			w.endLine()
			return p.fail(ExitUsage, err)
		default:
			w.showUnavailable(err)
		}
		select {
		case <-ctx.Done():
			return w.end()
		case <-time.After(c.Every):
		}
	}
}

// showProgress draws the progress bar.
func (w *statusWatch) showProgress(st operator.Status) {
	w.unavailable = nil
	done, total := progress(st)
	if w.bar == nil {
		w.bar = progressbar.NewOptions(total, progressbar.OptionSetWriter(w.p.err), progressbar.OptionSetWidth(40),
			progressbar.OptionSetDescription("serving"), progressbar.OptionShowCount())
	}
	w.bar.ChangeMax(total)
	_ = w.bar.Set(done)
}

// showUnavailable states that the entry does not respond, once until it responds again.
func (w *statusWatch) showUnavailable(err error) {
	if w.unavailable == nil {
		w.endLine()
		w.p.fail(ExitUsage, fmt.Errorf("waiting for %w", err))
	}
	w.unavailable = err
}

// end returns the exit code of a watch whose time is over.
func (w *statusWatch) end() int {
	w.endLine()
	if w.unavailable != nil {
		return w.p.fail(ExitUsage, w.unavailable)
	}
	return ExitFailure
}

// endLine ends the line of the progress bar.
func (w *statusWatch) endLine() {
	if w.bar != nil {
		_, _ = fmt.Fprintln(w.p.err)
	}
}

// progress counts the instances that do not lag behind, and all instances.
func progress(st operator.Status) (done, total int) {
	for _, in := range st.Instances {
		total++
		if !in.Lags {
			done++
		}
	}
	return done, max(1, total)
}

// PrintStatus writes the state of the fleet as tables. Only instances that lag are listed.
func PrintStatus(w io.Writer, st operator.Status) {
	state := "NOT CONVERGED"
	if st.Converged {
		state = "converged"
	}
	_, _ = fmt.Fprintf(w, "%s, revision %s, reported by %s, %d bytes from the origin\n", state, position(st.Era, st.Revision), st.Entry, st.OriginBytes)
	if st.Refused != nil {
		_, _ = fmt.Fprintf(w, "refused revision %s: %s\n", position(st.Refused.Era, st.Refused.Revision), st.Refused.Problems)
	}
	if st.Withheld != nil {
		_, _ = fmt.Fprintf(w, "the platform was restored from a copy and contains an older configuration (revision %s); publish the latest one again\n",
			position(st.Withheld.Era, st.Withheld.Revision))
	}
	t := newTable(w, "MODEL", "VERSION", "DESIRED", "SERVING", "LOADING", "STUCK")
	for _, m := range st.Models {
		t.addRow(m.Model, fleet.Version(m.Version).Short(), m.Desired, m.Serving, m.Loading, m.Stuck)
	}
	t.flush()
	t = newTable(w, "EXCEPTION", "REASON", "EXPIRES")
	for _, x := range st.Exceptions {
		t.addRow(x.Name, x.Reason, expiry(x))
	}
	t.flush()
	t = newTable(w, "INSTANCE", "ZONE", "STATE", "REVISION", "SERVING", "PHASE", "CHUNKS", "AGE", "WAITS FOR")
	for _, in := range st.Instances {
		if in.Lags {
			t.addRow(in.Instance, in.Zone, in.State, position(in.Era, in.Revision), fleet.Version(in.Serving).Short(), in.Phase,
				fmt.Sprintf("%d/%d", in.ChunksHeld, in.ChunksTotal), age(in.AgeMS), in.WaitsFor)
		}
	}
	t.flush()
	t = newTable(w, "ENTRY", "REVISION", "AGE", "PROBLEM")
	for _, e := range st.Entries {
		t.addRow(e.Instance, position(e.Era, e.Revision), age(e.AgeMS), e.Problem)
	}
	t.flush()
}

// position returns a revision, preceded by its era unless that is 0.
func position(era, revision uint64) string {
	if era == 0 {
		return strconv.FormatUint(revision, 10)
	}
	return fmt.Sprintf("%d/%d", era, revision)
}

func expiry(x operator.ExceptionStatus) string {
	if x.Expires == nil {
		return "-"
	}
	s := x.Expires.UTC().Format(time.RFC3339)
	if x.Overdue {
		s += " (overdue)"
	}
	return s
}

func age(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// textTable prints a table, or nothing if it has no rows.
type textTable struct {
	w        *tabwriter.Writer
	header   []string
	rowCount int
}

func newTable(w io.Writer, head ...string) *textTable {
	return &textTable{w: tabwriter.NewWriter(w, 0, 4, 2, ' ', 0), header: head}
}

func (t *textTable) addRow(cells ...any) {
	if t.rowCount == 0 {
		_, _ = fmt.Fprintln(t.w, "\n"+strings.Join(t.header, "\t"))
	}
	t.rowCount++
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(t.w, strings.Join(text, "\t"))
}

func (t *textTable) flush() { _ = t.w.Flush() }

func printJSON(w io.Writer, v any) {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

type explainCommand struct {
	queryOptions
}

func (c *explainCommand) run(p *program, args []string) int {
	if len(args) != 1 {
		return p.usageError("explain INSTANCE [--entry URL] [--format table|json]")
	}
	e, err := operator.NewClient(c.Entry).Explain(p.ctx, args[0])
	switch {
	case errors.Is(err, operator.ErrNoInstance):
		return p.fail(ExitFailure, fmt.Errorf("%s: %w", args[0], err))
	case err != nil:
		return p.fail(ExitUsage, err)
	case c.Format == "json":
		printJSON(p.out, e)
		return ExitOK
	}
	p.printf("%s at revision %s\n", e.Instance, position(e.Era, e.Revision))
	t := newTable(p.out, "SETTING", "VALUE", "FROM", "REASON")
	for _, s := range e.Settings {
		t.addRow(s.Key, s.Value, s.From, s.Reason)
	}
	t.flush()
	t = newTable(p.out, "MODEL", "STATE", "SERVING", "PHASE", "CHUNKS", "WAITS FOR")
	for _, s := range e.State {
		t.addRow(s.Model, s.State, fleet.Version(s.Serving).Short(), s.Phase, fmt.Sprintf("%d/%d", s.ChunksHeld, s.ChunksTotal), s.WaitsFor)
	}
	t.flush()
	return ExitOK
}

type checkCommand struct {
	Format string `long:"format" choice:"table" choice:"json" default:"table" description:"output format"`
}

func (c *checkCommand) run(p *program, args []string) int {
	if len(args) != 1 {
		return p.usageError("config check FILE")
	}
	body, err := os.ReadFile(args[0])
	if err != nil {
		return p.fail(ExitUsage, err)
	}
	_, err = config.Parse(body)
	var refused *config.RefusedError
	switch {
	case err == nil:
		p.printf("%s: accepted\n", args[0])
		return ExitOK
	case errors.As(err, &refused) && c.Format == "json":
		printJSON(p.out, refused.Problems)
	case errors.As(err, &refused):
		for _, x := range refused.Problems {
			p.printf("%s:%d: %s: %s\n", args[0], x.Line, x.Key, x.Text)
		}
	}
	return ExitFailure
}

type diffCommand struct{}

func (c *diffCommand) run(p *program, args []string) int {
	if len(args) != 2 {
		return p.usageError("config diff OLD NEW")
	}
	var docs [2]*config.Document
	for i, file := range args {
		body, err := os.ReadFile(file)
		if err != nil {
			return p.fail(ExitUsage, err)
		}
		if docs[i], err = config.Parse(body); err != nil {
			return p.fail(ExitUsage, fmt.Errorf("%s is refused: %w", file, err))
		}
	}
	lines := config.Diff(docs[0], docs[1])
	for _, l := range lines {
		p.printf("%s\n", l)
	}
	if len(lines) > 0 {
		return ExitFailure
	}
	return ExitOK
}
