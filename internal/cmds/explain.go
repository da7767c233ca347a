package cmds

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"example.org/mustardring/internal/event"
)

// ExplainCmd shows the log lines about one request and the server that it went to, from the logs of
// instances.
type ExplainCmd struct {
	ID    string   `arg:"" help:"Id of the request."`
	Files []string `arg:"" help:"Logs of instances." type:"existingfile"`
}

// serverEvents are the names of the events about the state of a server and of its lease.
var serverEvents = []string{
	"server", "server-gone", "server-regained", "renewal-failed", "renewal-withheld", "right-ended", "moved",
	"first-grant-failed", "first-grant-delegated", "server-lost-in-request", "server-unreachable", "path-lost", "path-regained", "tunnel-refused",
}

// logLine is a line of a log with its parsed fields.
type logLine struct {
	text   string
	fields map[string]string
}

// names reports whether the line is about a request: about itself, or about the connection on which its reply may not have arrived.
func (l logLine) names(id string) bool {
	if l.fields["id"] == id {
		return true
	}
	replies := strings.Fields(strings.NewReplacer("[", " ", "]", " ").Replace(l.fields["unwritten"] + l.fields["unacknowledged"]))
	return l.fields["msg"] == "caller-conn" && slices.Contains(replies, id)
}

// Run prints the lines about the request and the server that it went to, in order of time.
func (c *ExplainCmd) Run() error {
	var lines []logLine
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return badInput("logs: %w", err)
		}
		read, err := readLog(f)
		f.Close()
		if err != nil {
			return badInput("logs: %s: %w", name, err)
		}
		lines = append(lines, read...)
	}
	matches := explain(lines, c.ID)
	if len(matches) == 0 {
		return badInput("request %s is in none of the logs; its line may have been dropped, see the events lines-dropped", c.ID)
	}
	for _, l := range matches {
		fmt.Println(l)
	}
	return nil
}

// readLog reads the lines of an event log and parses their fields.
func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	for text, err := range event.Lines(r) {
		if err != nil {
			return nil, err
		}
		out = append(out, logLine{text, parseFields(text)})
	}
	return out, nil
}

// parseFields returns the fields of a log line.
func parseFields(text string) map[string]string {
	out := map[string]string{}
	event.ParseFields(text, out)
	return out
}

// explain returns the lines about a request, the server events of its server, and the reports of
// dropped lines, in order of time. It returns nil if no line has the id of the request.
func explain(lines []logLine, id string) []string {
	servers := map[string]bool{}
	found := false
	for _, l := range lines {
		if l.names(id) {
			found = true
			servers[l.fields["server"]] = true
		}
	}
	if !found {
		return nil
	}
	delete(servers, "")
	var out []string
	for _, l := range lines {
		switch about := servers[l.fields["server"]] && slices.Contains(serverEvents, l.fields["msg"]); {
		case l.names(id), about, l.fields["msg"] == "lines-dropped":
			out = append(out, l.text)
		}
	}
	slices.SortStableFunc(out, func(a, b string) int {
		return strings.Compare(parseFields(a)["time"], parseFields(b)["time"])
	})
	return out
}
