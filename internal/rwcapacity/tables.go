package rwcapacity

import (
	"fmt"
	"strings"
)

// Tables writes the page's tables from what was measured.
func Tables(m Slopes) string {
	var b strings.Builder
	b.WriteString("### Slopes as measured\n\n| slope | sizes run | base | per unit | largest distance from the line |\n|---|---|---|---|---|\n")
	for _, l := range m.lines() {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", l.name, sizes(l.Line), number(l.Base), number(l.Slope), number(l.Spread))
	}
	for _, size := range []struct {
		name string
		Size
	}{{"Today: 6 instances, 40 servers", Today}, {"Two years: 390 instances, 760 servers", TwoYears}} {
		fmt.Fprintf(&b, "\n### %s\n\n| role | what | figure | unit | budget | verdict | mechanism | from |\n|---|---|---|---|---|---|---|---|\n", size.name)
		for _, rows := range [][]Row{Control(m, size.Size), Roles(m, size.Size), Work(m, size.Size), Store(m, size.Size)} {
			for _, r := range rows {
				fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Role, r.What, number(r.Value), r.Unit, budget(r), verdict(r), r.Mechanism, r.Basis)
			}
		}
	}
	b.WriteString("\n### Losses at the two-year size\n\n| lost | instances | servers | answers adopted | callers reconnecting | answers resumed | tokens read again | load of the survivors | answers that lose both copies |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, l := range Losses(TwoYears) {
		r := After(TwoYears, l)
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | x%.2f | %s |\n", l.What, number(l.Instances), number(l.Servers),
			number(r.Adopted), number(r.Reconnects), number(r.Resumed), number(r.Recomputed), r.Peak, number(r.Both))
	}
	return b.String()
}

type namedLine struct {
	Line

	name string
}

func (m Slopes) lines() []namedLine {
	return []namedLine{
		{m.PeersCore, "cores of an idle instance, by peers of a round"},
		{m.PeersBytes, "bytes/s of an idle instance, by peers of a round"},
		{m.PeersMessages, "writes/s of an idle instance, by peers of a round"},
		{m.PeersMemory, "resident bytes of an idle instance, by peers of a round"},
		{m.OwnedCore, "cores of an idle instance, by servers owned"},
		{m.OwnedBytes, "bytes/s of an idle instance, by servers owned"},
		{m.OwnedMemory, "resident bytes of an idle instance, by servers owned"},
		{m.StoreCalls, "store calls/s, by instances"},
		{m.ApplyTime, "seconds to apply a change, by organisations"},
		{m.TreeMemory, "bytes of the settings tree, by organisations"},
	}
}

func sizes(l Line) string {
	var all []string
	for _, at := range l.At {
		all = append(all, number(at))
	}
	return strings.Join(all, ", ")
}

func number(v float64) string { return fmt.Sprintf("%.3g", v) }

func budget(r Row) string {
	if r.Budget == 0 {
		return "-"
	}
	return number(r.Budget)
}

func verdict(r Row) string {
	switch {
	case r.Budget == 0:
		return "-"
	case r.Holds():
		return "holds"
	default:
		return "**breaks**"
	}
}
