package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// stringArguments returns the string literals that the given packages pass to the given
// functions, each mapped to the index of the argument.
func stringArguments(t *testing.T, packages []string, functions map[string]int) []string {
	t.Helper()
	var found []string
	for _, folder := range packages {
		files, err := filepath.Glob(filepath.Join("..", "..", folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(parsed, func(node ast.Node) bool {
				call, ok := node.(*ast.CallExpr)
				if !ok {
					return true
				}
				selector, ok := call.Fun.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				position, isWanted := functions[selector.Sel.Name]
				if !isWanted || position >= len(call.Args) {
					return true
				}
				if literal, ok := call.Args[position].(*ast.BasicLit); ok && literal.Kind == token.STRING {
					if text, err := strconv.Unquote(literal.Value); err == nil {
						found = append(found, text)
					}
				}
				return true
			})
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// TestDocsHoldLogsAndMetrics checks that every log message and every metric in the code is
// listed in its table in docs.
func TestDocsHoldLogsAndMetrics(t *testing.T) {
	packages := []string{"internal/gateway", "internal/ledger", "internal/control", "internal/daemon", "cmd/ochrebay"}
	logs, err := os.ReadFile("../../docs/LOGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range stringArguments(t, packages, map[string]int{"Info": 1, "Warn": 1, "InfoSampled": 2, "logFailure": 0}) {
		if !strings.Contains(string(logs), "| `"+message+"` |") {
			t.Errorf("docs/LOGS.md does not list the message %q", message)
		}
	}
	metrics, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	names := stringArguments(t, packages, map[string]int{"RegisterGauge": 0, "RegisterCounter": 0, "RegisterLatencyHistogram": 0})
	for _, name := range names {
		if !strings.Contains(string(metrics), "| `ochrebay_"+name+"` |") {
			t.Errorf("docs/METRICS.md does not list ochrebay_%s", name)
		}
	}
	if len(names) < 10 {
		t.Errorf("found only %d metrics in the code, expected at least 10", len(names))
	}
}
