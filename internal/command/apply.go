package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"gentianstand/internal/entry"
	"gentianstand/internal/settings"
)

const applyUsage = `Validates a text and puts it into force at all instances. With -base it is accepted
only if that configuration is still in force; otherwise the error names who changed
it and shows the difference. Without -base it is based on the configuration in force.`

func apply(ctx context.Context, args []string, std Streams) int {
	var f operatorFlags
	s := settings.New("apply", applyUsage, std.Err)
	f.register(s)
	file := s.String("file", "-", "`file` with the text; - for standard input")
	base := s.Int64("base", -1, "number of the configuration that the text is based on; -1: any")
	if code, done := parse(s, args, std); done {
		return code
	}
	text, err := readFile(*file, std)
	if err != nil {
		return f.fail(std, err)
	}
	query := url.Values{}
	if *base >= 0 {
		query.Set("base", strconv.FormatInt(*base, 10))
	}
	var result entry.ApplyResult
	err = f.client().Do(ctx, http.MethodPost, "/v1/config", query, nil, text, &result)
	return f.finish(std, err, result, func() {
		fmt.Fprintf(std.Out, "configuration %d is accepted\n", result.Number)
		printWarnings(std, result.Warnings)
	})
}

func readFile(name string, std Streams) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(std.In)
	}
	return os.ReadFile(name)
}

func printWarnings(std Streams, warnings []string) {
	for _, w := range warnings {
		fmt.Fprintf(std.Out, "warning: %s\n", w)
	}
}
