package main

import (
	"context"
	"net/http"

	"github.com/ochrebay/ochrebay/internal/config"
	"github.com/ochrebay/ochrebay/internal/control"
	"github.com/ochrebay/ochrebay/internal/daemon"
	"github.com/ochrebay/ochrebay/internal/gateway"
	"github.com/ochrebay/ochrebay/internal/membership"
	"github.com/ochrebay/ochrebay/internal/result"
	"github.com/ochrebay/ochrebay/internal/routing"
	"github.com/ochrebay/ochrebay/platform"
)

// interfacePlatform selects the names, formats and calls of the platform. Only this file
// connects them to the product.
const interfacePlatform = "platform"

// gatewayHeaders returns the names of the HTTP headers that a gateway uses.
func gatewayHeaders(process config.Process) gateway.HeaderNames {
	if process.Interface == interfacePlatform {
		return platform.HeaderNames()
	}
	return gateway.DefaultHeaderNames()
}

// engineStatusPath returns the path at which engines respond without running anything.
func engineStatusPath(process config.Process) string {
	if process.Interface == interfacePlatform {
		return platform.EngineStatusPath
	}
	return gateway.DefaultEngineStatusPath
}

// gatewayFrontends returns the additional frontends of a gateway: the platform's readiness check.
func gatewayFrontends(process config.Process, gatewayDaemon *gateway.Daemon) []daemon.Frontend {
	if process.Interface != interfacePlatform || process.Listen.Readiness == "" {
		return nil
	}
	return []daemon.Frontend{{Address: process.Listen.Readiness, Handler: platform.ReadinessHandler(gatewayDaemon.Ready), Name: "readiness", Share: daemon.ReadinessShare}}
}

// controlFrontends returns the additional frontends of a control process: that for the platform's
// operator and engines, and that for callers that look up gateways.
func controlFrontends(process config.Process, controlDaemon *control.Daemon) []daemon.Frontend {
	if process.Interface != interfacePlatform {
		return nil
	}
	var frontends []daemon.Frontend
	if process.Listen.Operators != "" {
		frontends = append(frontends, daemon.Frontend{
			Address: process.Listen.Operators, Name: "operators", Share: daemon.OperatorsShare,
			Handler: platform.ControlHandler(controlDaemon, controlDaemon.DocumentMemory()),
		})
	}
	if process.Listen.Directory != "" {
		frontends = append(frontends, daemon.Frontend{
			Address: process.Listen.Directory, Handler: platform.DirectoryHandler(controlDaemon), Name: "directory", Share: daemon.DirectoryShare,
		})
	}
	return frontends
}

// parseConfiguration translates a configuration document of the platform into a routing table.
func parseConfiguration(document []byte) (*routing.Table, *result.Error) {
	return platform.ParseConfiguration(document)
}

// reportEngine sends an engine's report to a control process, as engines of the platform do.
func reportEngine(ctx context.Context, client *http.Client, control string, engine membership.ServingEngine) error {
	return platform.ReportEngine(ctx, client, control, engine)
}
