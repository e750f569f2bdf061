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

// interfacePlatform chooses the platform's names, formats and calls; this file is
// the one place that wires them to the product.
const interfacePlatform = "platform"

// gatewayHeaders returns the headers by which a gateway speaks.
func gatewayHeaders(process config.Process) gateway.HeaderNames {
	if process.Interface == interfacePlatform {
		return platform.HeaderNames()
	}
	return gateway.DefaultHeaderNames()
}

// gatewayFrontends returns what a gateway serves besides its callers.
func gatewayFrontends(process config.Process, served *gateway.Daemon) []daemon.Frontend {
	if process.Interface != interfacePlatform || process.Listen.Readiness == "" {
		return nil
	}
	return []daemon.Frontend{{Address: process.Listen.Readiness, Handler: platform.ReadinessHandler(served.Ready)}}
}

// controlFrontends returns what a control process serves besides its own interface.
func controlFrontends(process config.Process, served *control.Daemon) []daemon.Frontend {
	if process.Interface != interfacePlatform {
		return nil
	}
	var frontends []daemon.Frontend
	if process.Listen.Operators != "" {
		frontends = append(frontends, daemon.Frontend{Address: process.Listen.Operators, Handler: platform.ControlHandler(served)})
	}
	if process.Listen.Directory != "" {
		frontends = append(frontends, daemon.Frontend{
			Address: process.Listen.Directory, Handler: platform.DirectoryHandler(served),
		})
	}
	return frontends
}

// parseConfiguration translates a configuration document of the platform.
func parseConfiguration(document []byte) (*routing.Table, *result.Error) {
	return platform.ParseConfiguration(document)
}

// reportEngine carries an engine's report to a control process as the platform's engines do.
func reportEngine(ctx context.Context, client *http.Client, control string, engine membership.ServingEngine) error {
	return platform.ReportEngine(ctx, client, control, engine)
}
