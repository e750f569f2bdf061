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

// literals returns the string literals that stand at a place of the calls of some
// functions, over the packages given.
func literals(t *testing.T, packages []string, functions map[string]int) []string {
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
				place, wanted := functions[selector.Sel.Name]
				if !wanted || place >= len(call.Args) {
					return true
				}
				if literal, ok := call.Args[place].(*ast.BasicLit); ok && literal.Kind == token.STRING {
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

// TestDocsHoldLogsAndMetrics holds the tables of log messages and metrics together
// with the code, in both directions for metrics.
func TestDocsHoldLogsAndMetrics(t *testing.T) {
	packages := []string{"internal/gateway", "internal/ledger", "internal/control", "internal/daemon", "cmd/ochrebay"}
	logs, err := os.ReadFile("../../docs/LOGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range literals(t, packages, map[string]int{"Info": 1, "Warn": 1, "InfoSampled": 2, "logFailure": 0}) {
		if !strings.Contains(string(logs), "| `"+message+"` |") {
			t.Errorf("docs/LOGS.md lacks the message %q", message)
		}
	}
	metrics, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	names := literals(t, packages, map[string]int{"RegisterGauge": 0, "RegisterCounter": 0, "RegisterLatencyHistogram": 0})
	for _, name := range names {
		if !strings.Contains(string(metrics), "| `ochrebay_"+name+"` |") {
			t.Errorf("docs/METRICS.md lacks ochrebay_%s", name)
		}
	}
	if len(names) < 10 {
		t.Errorf("only %d metrics found in the code", len(names))
	}
}
