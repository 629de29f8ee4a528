//go:build linux

package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/galenalatch/galenalatch"
	"github.com/galenalatch/galenalatch/internal/config/duration"
	"github.com/galenalatch/galenalatch/internal/load/plan"
	"github.com/galenalatch/galenalatch/internal/standin/engine"
)

// callerOptions are the flags of the load command that describe the callers of
// each workspace. For each kind of call they give the number of concurrent
// calls.
type callerOptions struct {
	first, last, stream, whole, reads, writes, tokens, calls int
	repeats                                                  bool
	pause                                                    time.Duration
}

// load writes a load plan and starts it in the background: load NAME [flags].
func (s *scenario) load(_ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errors.New("usage: load name [flags]")
	}
	var c callerOptions
	p := plan.Plan{Retries: 1000}
	var length, timeout time.Duration
	var routers string
	f := flag.NewFlagSet("load", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	f.StringVar(&routers, "routers", "router-*", "patterns of router names, separated by commas")
	f.DurationVar(&length, "for", 5*time.Second, "duration of the load")
	f.DurationVar(&timeout, "timeout", 30*time.Second, "timeout of a call with its retries")
	f.IntVar(&p.Retries, "retries", 1000, "maximum retries of a call")
	f.IntVar(&c.first, "first", 1, "number of the first workspace")
	f.IntVar(&c.last, "last", 4, "number of the last workspace")
	f.IntVar(&c.stream, "stream", 0, "concurrent streamed chats of each workspace")
	f.IntVar(&c.whole, "whole", 0, "concurrent chats of each workspace that are not streamed")
	f.IntVar(&c.reads, "reads", 0, "concurrent GET calls of each workspace")
	f.IntVar(&c.writes, "writes", 0, "concurrent POST calls with an idempotency key of each workspace")
	f.IntVar(&c.tokens, "tokens", 20, "length of chat answers in tokens")
	f.IntVar(&c.calls, "calls", 0, "number of calls of each kind; 0 for no limit")
	f.BoolVar(&c.repeats, "repeats", false, "repeat each call with an idempotency key through another router")
	f.DurationVar(&c.pause, "pause", 0, "pause between two calls of a caller")
	if err := f.Parse(args[1:]); err != nil {
		return err
	}
	p.Duration, p.Timeout = duration.Duration(length), duration.Duration(timeout)
	names, err := s.names(strings.Split(routers, ",")...)
	if err != nil {
		return err
	}
	for _, n := range names {
		r, err := s.router(n)
		if err != nil {
			return err
		}
		p.Routers = append(p.Routers, r.Listen.Caller)
	}
	for _, i := range s.fleet.standin.Instances {
		if i.Role == galenalatch.ServerRole {
			p.Servers = append(p.Servers, i.Address)
		}
	}
	p.Callers = c.plan()
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	file := args[0] + ".plan.json"
	if err := os.WriteFile(filepath.Join(s.dir, file), data, 0o600); err != nil {
		return err
	}
	_, err = s.spawn(args[0], "load", "--plan", file)
	return err
}

// plan returns the callers of all workspaces for a load plan.
func (c callerOptions) plan() []plan.Caller {
	var list []plan.Caller
	for i := c.first; i <= c.last; i++ {
		w := workspace(i)
		base := plan.Caller{
			Workspace: w, Key: workspaceKey(w), Class: galenalatch.Interactive, Calls: c.calls, Pause: duration.Duration(c.pause),
		}
		chat := base
		chat.Model, chat.PromptWords, chat.MaxTokens = modelName, 10, c.tokens
		stream, reads, writes := chat, base, base
		stream.Stream, stream.Class = true, galenalatch.Batch
		reads.Pool, reads.Method, reads.Path = plainPool, "GET", "/status/1"
		writes.Pool, writes.Method, writes.Path, writes.IdempotencyKeys, writes.RepeatCalls = plainPool, "POST", "/orders", true, c.repeats
		for _, v := range []struct {
			caller plan.Caller
			count  int
		}{{stream, c.stream}, {chat, c.whole}, {reads, c.reads}, {writes, c.writes}} {
			if v.caller.Concurrency = v.count; v.count > 0 {
				list = append(list, v.caller)
			}
		}
	}
	return list
}

// loadEndTimeout is longer than any load and the timeouts of its last calls.
const loadEndTimeout = 90 * time.Second

// outcomePattern matches an outcome and its count in the OTHER column of a load's
// result table.
var outcomePattern = regexp.MustCompile(`(\w+) \d+(?:,|  )`)

// checkLoad waits for the end of a load and prints its output. It fails if the
// load found a violation, made no call, or a call had an outcome that is not
// named: checkload NAME [OUTCOME]...
func (s *scenario) checkLoad(ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errors.New("usage: checkload name [outcome]...")
	}
	l, ok := s.processes[args[0]]
	if !ok {
		return fmt.Errorf("no load %s", args[0])
	}
	select {
	case <-l.ended:
	case <-time.After(loadEndTimeout):
		return fmt.Errorf("load %s has not ended after %v", args[0], loadEndTimeout)
	}
	data, err := os.ReadFile(filepath.Join(s.dir, args[0]+".out"))
	if err != nil {
		return err
	}
	_, _ = ts.Stdout().Write(data)
	if l.err != nil {
		log, _ := os.ReadFile(filepath.Join(s.dir, args[0]+".log"))
		return fmt.Errorf("%w: %s", l.err, log)
	}
	return checkOutcomes(string(data), args[1:])
}

// checkOutcomes checks that the result table has rows and that its OTHER column
// has only the allowed outcomes.
func checkOutcomes(table string, allowed []string) error {
	lines := strings.Split(table, "\n")
	other := strings.Index(lines[0], "OTHER")
	end := strings.Index(lines[0], "FIRST P50")
	rows := 0
	for _, l := range lines[1:] {
		if len(l) < end || strings.HasPrefix(l, "servers:") || strings.HasPrefix(l, "first ") {
			continue
		}
		rows++
		for _, m := range outcomePattern.FindAllStringSubmatch(l[other:end]+"  ", -1) {
			if !slices.Contains(allowed, m[1]) {
				return fmt.Errorf("a call had the outcome %s", m[1])
			}
		}
	}
	if rows == 0 {
		return errors.New("the load made no call")
	}
	return nil
}

// checkLatency checks that the 95th percentile of the time to the first data of
// a response is within a limit in each row of a load that has ended:
// checklatency LIMIT NAME.
func (s *scenario) checkLatency(_ *testscript.TestScript, args []string) error {
	limit, rest, err := takeDuration(args)
	if err != nil || len(rest) != 1 {
		return errors.New("usage: checklatency limit name")
	}
	data, err := os.ReadFile(filepath.Join(s.dir, rest[0]+".out"))
	if err != nil {
		return err
	}
	lines := strings.Split(string(data), "\n")
	from, to := strings.Index(lines[0], "P95"), strings.Index(lines[0], "TOTAL P50")
	for _, l := range lines[1:] {
		if len(l) < to || strings.HasPrefix(l, "servers:") || strings.HasPrefix(l, "first ") {
			continue
		}
		got, err := time.ParseDuration(strings.TrimSpace(l[from:to]))
		if err != nil {
			return err
		}
		if got > limit {
			return fmt.Errorf("95th percentile %v exceeds %v: %s", got, limit, l)
		}
	}
	return nil
}

// chat sends a chat completion through a router with the OpenAI SDK and checks
// the complete answer:
// chat ROUTER stream|whole WORKSPACE TOKENS.
func (s *scenario) chat(_ *testscript.TestScript, args []string) error {
	if len(args) != 4 {
		return errors.New("usage: chat router stream|whole workspace tokens")
	}
	r, err := s.router(args[0])
	if err != nil {
		return err
	}
	var tokens int
	if _, err := fmt.Sscan(args[3], &tokens); err != nil {
		return err
	}
	c := openai.NewClient(option.WithBaseURL("http://"+r.Listen.Caller+"/v1"), option.WithMaxRetries(0),
		option.WithAPIKey(workspaceKey(galenalatch.WorkspaceName(args[2]))))
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	const prompt = "one two three"
	q := openai.ChatCompletionNewParams{
		Model:     modelName,
		MaxTokens: openai.Int(int64(tokens)),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
	var got string
	if args[1] == "whole" {
		a, err := c.Chat.Completions.New(ctx, q)
		if err != nil {
			return err
		}
		got = a.Choices[0].Message.Content
	} else {
		stream := c.Chat.Completions.NewStreaming(ctx, q)
		var all openai.ChatCompletionAccumulator
		for stream.Next() {
			if !all.AddChunk(stream.Current()) {
				return errors.New("the chunks belong to different completions")
			}
		}
		if err := stream.Err(); err != nil {
			return err
		}
		got = all.Choices[0].Message.Content
	}
	if want := engine.CompletionText(prompt, tokens); got != want {
		return fmt.Errorf("answer %q, want %q", got, want)
	}
	return nil
}
