package rwcapacity

import (
	"fmt"
	"strings"
)

// Tables returns the tables of docs/CAPACITY.md, in Markdown, computed from m.
func Tables(m Measurements) string {
	var b strings.Builder
	b.WriteString("### Slopes as measured\n\n| slope | sizes run | base | per unit | largest distance from the line |\n|---|---|---|---|---|\n")
	for _, l := range m.namedFits() {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", l.name, formatSizes(l.LinearFit), formatNumber(l.Intercept), formatNumber(l.Slope), formatNumber(l.MaxResidual))
	}
	for _, size := range []struct {
		name string
		Size
	}{{"Today: 6 instances, 40 servers", CurrentSize}, {"Two years: 390 instances, 760 servers", DesignSize}} {
		fmt.Fprintf(&b, "\n### %s\n\n| role | what | figure | unit | budget | verdict | mechanism | from |\n|---|---|---|---|---|---|---|---|\n", size.name)
		for _, rows := range [][]Row{ControlRows(m, size.Size), RoleRows(m, size.Size), RequestRows(m, size.Size), StoreRows(m, size.Size)} {
			for _, r := range rows {
				fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Role, r.Quantity, formatNumber(r.Value), r.Unit, formatBudget(r), formatVerdict(r), r.Mechanism, r.Basis)
			}
		}
	}
	b.WriteString("\n### Losses at the two-year size\n\n| lost | instances | servers | answers adopted | callers reconnecting | answers resumed | tokens read again | load of the survivors | answers that lose both copies |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, l := range Losses(DesignSize) {
		effect := EffectOf(DesignSize, l)
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | x%.2f | %s |\n", l.Description, formatNumber(l.Instances), formatNumber(l.Servers),
			formatNumber(effect.Adopted), formatNumber(effect.Reconnects), formatNumber(effect.Resumed), formatNumber(effect.RecomputedTokens), effect.SurvivorLoad, formatNumber(effect.LostBoth))
	}
	return b.String()
}

// namedFit is a row of the table of measured slopes.
type namedFit struct {
	LinearFit

	name string
}

func (m Measurements) namedFits() []namedFit {
	return []namedFit{
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

func formatSizes(l LinearFit) string {
	var all []string
	for _, size := range l.Sizes {
		all = append(all, formatNumber(size))
	}
	return strings.Join(all, ", ")
}

func formatNumber(v float64) string { return fmt.Sprintf("%.3g", v) }

func formatBudget(r Row) string {
	if r.Budget == 0 {
		return "-"
	}
	return formatNumber(r.Budget)
}

func formatVerdict(r Row) string {
	switch {
	case r.Budget == 0:
		return "-"
	case r.WithinBudget():
		return "holds"
	default:
		return "**breaks**"
	}
}
