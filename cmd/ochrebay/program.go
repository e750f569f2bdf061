package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/control"
)

func registerProgram(app *kingpin.Application, registered commands) {
	command := app.Command("program", "Look at programs in the ledger, or end one.")

	list := command.Command("list", "List programs.\n\nExample: ochrebay program list --data run")
	listFlags := registerOperatorFlags(list)
	limit := list.Flag("limit", "How many at most.").Default("100").Int()
	registered[list.FullCommand()] = withoutContext(func() error {
		return show(listFlags, "GET", fmt.Sprintf("/v1/programs?limit=%d", *limit), nil, printPrograms)
	})

	one := command.Command("show", "Show a program and its turns.\n\nExample: ochrebay program show p-0123 --data run")
	oneFlags := registerOperatorFlags(one)
	id := one.Arg("id", "Program id.").Required().String()
	registered[one.FullCommand()] = withoutContext(func() error {
		return show(oneFlags, "GET", "/v1/programs/"+*id, nil, printProgram)
	})

	end := command.Command("end", "End a program and release what engines hold of it.\n\nExample: ochrebay program end p-0123 --data run")
	endFlags := registerOperatorFlags(end)
	endID := end.Arg("id", "Program id.").Required().String()
	registered[end.FullCommand()] = withoutContext(func() error {
		return show(endFlags, "DELETE", "/v1/programs/"+*endID, nil, printProgram)
	})
}

func printPrograms(table *tabwriter.Writer, view control.ProgramsView) {
	row(table, "PROGRAM", "SERVICE", "TENANT", "STATE", "TURNS", "SPENT", "LEFT", "SCHEDULER", "ENGINE")
	for _, p := range view.Programs {
		row(table, p.ID, p.Service, p.Tenant, p.State, p.LastTurn, p.SpentTokens, p.RemainingTokens, p.Scheduler, p.Engine)
	}
}

func printProgram(table *tabwriter.Writer, view control.ProgramView) {
	row(table, "program", view.ID)
	row(table, "service", view.Service)
	row(table, "tenant", view.Tenant)
	row(table, "state", view.State+" "+view.EndReason)
	row(table, "turns", view.LastTurn)
	row(table, "tokens spent", view.SpentTokens)
	row(table, "budget left", view.RemainingTokens)
	row(table, "scheduler", view.Scheduler)
	row(table, "ledger group", view.Group)
	if len(view.Turns) == 0 {
		return
	}
	row(table)
	row(table, "TURN", "THREAD", "REQUEST", "PROMPT", "CACHED", "ANSWER", "ENGINE", "RESULT")
	for _, turn := range view.Turns {
		row(table, turn.Turn, turn.Thread, turn.Request, turn.Usage.PromptTokens, turn.Usage.CachedTokens,
			turn.Usage.CompletionTokens, turn.Engine, turn.Code)
	}
}
