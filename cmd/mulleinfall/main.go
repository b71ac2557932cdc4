// Command mulleinfall is a cluster scheduler: it accepts jobs from users, rents
// machines in the cloud and assigns tasks to machines.
package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"mulleinfall/internal/config"
	"mulleinfall/internal/node"
)

var version = "0.1.0"

// flags describes the command line to the kong library.
type flags struct {
	Config   string           `help:"Settings file of the platform (JSON)." placeholder:"PATH" required:""`
	Operator string           `help:"Operators' own settings (HCL)." placeholder:"PATH" env:"MULLEINFALL_OPERATOR"`
	Version  kong.VersionFlag `help:"Print the version and leave."`

	Serve struct{} `cmd:"" default:"1" help:"Run a controller (the default)."`
	Check struct{} `cmd:"" help:"Check the settings and leave."`
}

func main() {
	var options flags
	parsed := kong.Parse(&options, kong.Name("mulleinfall"), kong.Description("A cluster scheduler that sends work to where its image is."),
		kong.Vars{"version": version}, kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2 // wrong arguments exit like wrong settings
			}
			os.Exit(code)
		}))
	setUpLogging(os.Getenv("LOG_LEVEL"))
	settings, err := config.Load(options.Config, options.Operator)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mulleinfall:", err)
		os.Exit(2)
	}
	for _, warning := range settings.Warnings() {
		slog.Warn(warning)
	}
	if parsed.Command() == "check" {
		fmt.Println("settings are in order")
		return
	}
	if err := serve(settings); err != nil {
		slog.Error("stopped", "error", err)
		os.Exit(1)
	}
}

// setUpLogging logs to standard error at the given level: error, info (the
// default) or debug.
func setUpLogging(level string) {
	minLevel := slog.LevelInfo
	switch strings.ToLower(level) {
	case "error":
		minLevel = slog.LevelError
	case "debug":
		minLevel = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: minLevel})))
}

// serve runs a controller until the process is interrupted or terminated, or a listener
// fails.
func serve(settings *config.Settings) error {
	limits := &settings.Params.Limits
	// The memory limit of the platform covers the whole process, also memory that the Go
	// runtime doesn't count, so the soft limit of the runtime is 70 % of it. Below the
	// soft limit the garbage collector runs rarely, which saves processor time.
	debug.SetMemoryLimit(int64(limits.MemoryMB * 0.7 * (1 << 20)))
	debug.SetGCPercent(300)
	runtime.GOMAXPROCS(max(1, int(limits.CoreShare+0.5)))
	var incarnation [8]byte // random: tells this run of the process from earlier ones
	if _, err := rand.Read(incarnation[:]); err != nil {
		return fmt.Errorf("generate the incarnation number: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return node.New(settings, binary.LittleEndian.Uint64(incarnation[:])).Run(ctx)
}
