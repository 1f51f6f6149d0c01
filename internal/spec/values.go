package spec

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"gentianstand/internal/resource"
)

// The upper limits of values in a text.
const (
	maxTasks    = 10_000
	maxRetries  = 100
	maxDuration = 30 * 24 * time.Hour
	maxCores    = 1_000_000
)

var (
	namePattern   = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	memoryPattern = regexp.MustCompile(`^([0-9]{1,9})(MiB|GiB|TiB)$`)
	memoryUnits   = map[string]int64{"MiB": 1, "GiB": 1 << 10, "TiB": 1 << 20}
)

func (r *reader) name(into *string) fieldReader {
	return func(n *yaml.Node) {
		s, ok := r.scalar(n, "a name")
		if !ok {
			return
		}
		if !namePattern.MatchString(s) {
			r.fail(n, "name %q is not allowed; allowed: a lower-case letter, then at most 62 lower-case letters, digits and hyphens", s)
			return
		}
		*into = s
	}
}

func (r *reader) nameList(into *[]string, nodes *[]*yaml.Node) fieldReader {
	return func(n *yaml.Node) {
		r.list(n, "this field", func(item *yaml.Node) {
			var s string
			r.name(&s)(item)
			*into = append(*into, s)
			*nodes = append(*nodes, item)
		})
	}
}

func (r *reader) words(into *[]string) fieldReader {
	return func(n *yaml.Node) {
		r.list(n, "command", func(item *yaml.Node) {
			if s, ok := r.scalar(item, "a word of a command"); ok {
				*into = append(*into, s)
			}
		})
	}
}

func (r *reader) integer(into *int64, low, high int64) fieldReader {
	return func(n *yaml.Node) {
		s, ok := r.scalar(n, "a number")
		if !ok {
			return
		}
		v, err := strconv.ParseInt(s, 10, 64)
		if err != nil || v < low || v > high {
			r.fail(n, "%q is not allowed; allowed: a whole number from %d to %d", s, low, high)
			return
		}
		*into = v
	}
}

func (r *reader) count(into *int, low, high int64) fieldReader {
	return func(n *yaml.Node) {
		v := int64(*into)
		r.integer(&v, low, high)(n)
		*into = int(v)
	}
}

func (r *reader) boolean(into *bool) fieldReader {
	return func(n *yaml.Node) {
		if err := n.Decode(into); err != nil {
			r.fail(n, "%q is not allowed; allowed: true, false", n.Value)
		}
	}
}

func (r *reader) duration(into *time.Duration) fieldReader {
	return func(n *yaml.Node) {
		s, ok := r.scalar(n, "a duration")
		if !ok {
			return
		}
		d, err := time.ParseDuration(s)
		if err != nil || d <= 0 || d > maxDuration {
			r.fail(n, "%q is not allowed; allowed: a duration above 0 with its unit, at most 720h, such as 250ms, 90s, 2h30m", s)
			return
		}
		*into = d
	}
}

func (r *reader) cores(into *int64) fieldReader {
	return func(n *yaml.Node) {
		s, ok := r.scalar(n, "cpu")
		if !ok {
			return
		}
		v, err := strconv.ParseFloat(s, 64)
		milli := math.Round(v * 1000)
		if err != nil || v < 0 || v > maxCores || math.Abs(milli-v*1000) > 1e-6 {
			r.fail(n, "cpu %q is not allowed; allowed: cores as a number with at most three decimals, such as 2 or 0.25", s)
			return
		}
		*into = int64(milli)
	}
}

func (r *reader) memory(into *int64) fieldReader {
	return func(n *yaml.Node) {
		s, ok := r.scalar(n, "memory")
		if !ok {
			return
		}
		parts := memoryPattern.FindStringSubmatch(strings.TrimSpace(s))
		if parts == nil {
			r.fail(n, "memory %q is not allowed; allowed: a whole number with the unit MiB, GiB or TiB, such as 512MiB", s)
			return
		}
		v, _ := strconv.ParseInt(parts[1], 10, 64)
		*into = v * memoryUnits[parts[2]]
	}
}

func (r *reader) amount(into *resource.Amount) fieldReader {
	return func(n *yaml.Node) {
		r.mapping(n, "resources", map[string]fieldReader{
			"cpu":          r.cores(&into.MilliCPU),
			"memory":       r.memory(&into.MemoryMiB),
			"accelerators": r.integer(&into.Accelerators, 0, maxCores),
		}, "cpu", "memory")
	}
}
