// Command mulleinfall is a cluster scheduler: it takes jobs from users, rents
// machines and decides what runs where.
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

type flags struct {
	Config   string           `help:"Settings file of the platform (JSON)." placeholder:"PATH" required:""`
	Operator string           `help:"Operators' own settings (HCL)." placeholder:"PATH" env:"MULLEINFALL_OPERATOR"`
	Version  kong.VersionFlag `help:"Print the version and leave."`

	Serve struct{} `cmd:"" default:"1" help:"Run a controller (the default)."`
	Check struct{} `cmd:"" help:"Check the settings and leave."`
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Name("mulleinfall"), kong.Description("A cluster scheduler that sends work to where its image is."),
		kong.Vars{"version": version}, kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2 // wrong arguments are wrong settings
			}
			os.Exit(code)
		}))
	setUpLogging(os.Getenv("LOG_LEVEL"))
	set, err := config.Load(f.Config, f.Operator)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mulleinfall:", err)
		os.Exit(2)
	}
	for _, w := range set.Warnings() {
		slog.Warn(w)
	}
	if k.Command() == "check" {
		fmt.Println("settings are in order")
		return
	}
	if err := serve(set); err != nil {
		slog.Error("stopped", "error", err)
		os.Exit(1)
	}
}

func setUpLogging(level string) {
	l := slog.LevelInfo
	switch strings.ToLower(level) {
	case "error":
		l = slog.LevelError
	case "debug":
		l = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})))
}

func serve(set *config.Settings) error {
	lim := &set.Params.Limits
	// The limit counts what the process holds in all; the runtime is told to
	// stay well below, and collects rarely as long as it does.
	debug.SetMemoryLimit(int64(lim.MemoryMB * 0.7 * (1 << 20)))
	debug.SetGCPercent(300)
	runtime.GOMAXPROCS(max(1, int(lim.CoreShare+0.5)))
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return fmt.Errorf("random seed: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return node.New(set, binary.LittleEndian.Uint64(b[:])).Run(ctx)
}
