package link

import (
	"math"

	"carobpulley/wire/relay"
	"carobpulley/work"
)

// shareUnits is the number of units of a share in a message.
const shareUnits = 1000

// boundKind bounds a received kind. A longer one is that of no build, and counts as unknown.
func boundKind(kind string) string {
	if len(kind) > work.MaxKindBytes {
		return ""
	}
	return kind
}

func besideToWire(in []work.Beside) []*relay.Beside {
	if len(in) == 0 {
		return nil
	}
	out := make([]*relay.Beside, 0, len(in))
	for _, b := range in {
		out = append(out, &relay.Beside{Kind: b.Kind, Share: uint32(math.Round(b.Share * shareUnits))})
	}
	return out
}

func besideFromWire(in []*relay.Beside) []work.Beside {
	if len(in) == 0 {
		return nil
	}
	in = in[:min(len(in), work.MaxBeside)]
	out := make([]work.Beside, 0, len(in))
	for _, b := range in {
		if kind := boundKind(b.GetKind()); kind != "" {
			out = append(out, work.Beside{Kind: kind, Share: min(float64(b.GetShare())/shareUnits, 1)})
		}
	}
	return out
}

func kindsToWire(in []work.KindLoad) []*relay.KindLoad {
	if len(in) == 0 {
		return nil
	}
	out := make([]*relay.KindLoad, 0, len(in))
	for _, k := range in {
		out = append(out, &relay.KindLoad{Kind: k.Kind, Cpu: k.CPU})
	}
	return out
}

func kindsFromWire(in []*relay.KindLoad) []work.KindLoad {
	if len(in) == 0 {
		return nil
	}
	in = in[:min(len(in), work.MaxBeside)]
	out := make([]work.KindLoad, 0, len(in))
	for _, k := range in {
		if kind := boundKind(k.GetKind()); kind != "" && k.GetCpu() > 0 {
			out = append(out, work.KindLoad{Kind: kind, CPU: min(k.GetCpu(), work.MaxResource)})
		}
	}
	return out
}
