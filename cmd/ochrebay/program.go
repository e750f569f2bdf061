package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/ochrebay/ochrebay/internal/control"
)

func registerProgram(app *kingpin.Application, registered commands) {
	command := app.Command("program", "Show programs in the ledger, or end one.")

	list := command.Command("list", "List programs.\n\nExample: ochrebay program list --data run")
	listFlags := registerOperatorFlags(list)
	limit := list.Flag("limit", "Maximum number of programs.").Default("100").Int()
	registered[list.FullCommand()] = withoutContext(func() error {
		return callAndPrint(listFlags, "GET", fmt.Sprintf("/v1/programs?limit=%d", *limit), nil, printPrograms)
	})

	showCommand := command.Command("show", "Show a program and its turns.\n\nExample: ochrebay program show p-0123 --data run")
	showFlags := registerOperatorFlags(showCommand)
	showID := showCommand.Arg("id", "Program id.").Required().String()
	registered[showCommand.FullCommand()] = withoutContext(func() error {
		return callAndPrint(showFlags, "GET", "/v1/programs/"+*showID, nil, printProgram)
	})

	end := command.Command("end", "End a program and release the memory that engines hold for it.\n\nExample: ochrebay program end p-0123 --data run")
	endFlags := registerOperatorFlags(end)
	endID := end.Arg("id", "Program id.").Required().String()
	registered[end.FullCommand()] = withoutContext(func() error {
		return callAndPrint(endFlags, "DELETE", "/v1/programs/"+*endID, nil, printProgram)
	})
}

func printPrograms(table *tabwriter.Writer, view control.ProgramsView) {
	printRow(table, "PROGRAM", "SERVICE", "TENANT", "STATE", "TURNS", "SPENT", "LEFT", "SCHEDULER", "ENGINE")
	for _, p := range view.Programs {
		printRow(table, p.ID, p.Service, p.Tenant, p.State, p.LastTurn, p.SpentTokens, p.RemainingTokens, p.Scheduler, p.Engine)
	}
}

func printProgram(table *tabwriter.Writer, view control.ProgramView) {
	printRow(table, "program", view.ID)
	printRow(table, "service", view.Service)
	printRow(table, "tenant", view.Tenant)
	printRow(table, "state", view.State+" "+view.EndReason)
	printRow(table, "turns", view.LastTurn)
	printRow(table, "tokens spent", view.SpentTokens)
	printRow(table, "budget left", view.RemainingTokens)
	printRow(table, "scheduler", view.Scheduler)
	printRow(table, "ledger group", view.Group)
	if len(view.Turns) == 0 {
		return
	}
	printRow(table)
	printRow(table, "TURN", "THREAD", "REQUEST", "PROMPT", "CACHED", "ANSWER", "ENGINE", "RESULT")
	for _, turn := range view.Turns {
		printRow(table, turn.Turn, turn.Thread, turn.Request, turn.Usage.PromptTokens, turn.Usage.CachedTokens,
			turn.Usage.CompletionTokens, turn.Engine, turn.Code)
	}
}
