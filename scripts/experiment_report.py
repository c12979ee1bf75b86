"""Writes the tables and plots of an experiment."""

import json
import statistics
import subprocess

GNUPLOT = """set terminal svg size 1200,800 dynamic background "white" font "sans,11"
set output "{output}"
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.85 border -1
set boxwidth 0.9
set grid ytics
set key top left horizontal
set xtics rotate by -25 font "sans,9"
set multiplot layout 2,1 title "{title}"
set ylabel "weighted answers in time, in 100"
set yrange [0:110]
plot {in_time}
set ylabel "p99 of {kind}, ms"
set yrange [1:*]
set logscale y
plot {p99}
unset multiplot
"""


def median(rows, field):
    return statistics.median(row[field] for row in rows)


def group_rows(rows):
    """Groups rows of all seeds by (site, scenario, policy), in the order of the runs."""
    groups = {}
    for row in rows:
        groups.setdefault((row["site"], row["scenario"], row["policy"]), []).append(row)
    return groups


def format_table(rows):
    """Returns medians over the seeds, one line for each site, scenario and policy."""
    lines = [f"{'site':<7} {'scenario':<22} {'policy':<7} {'n':>2} {'in time':>8} {'heavy p50':>9} "
             f"{'p99':>8} {'p99 all':>8} {'p99.9':>8} {'refused':>8} {'unknown':>8} {'probes':>7} "
             f"{'budget':>6} "
             f"{'ctl B/s':>8} {'entry cpu':>9} {'idle':>5}"]
    for (site, scenario, policy), group in group_rows(rows).items():
        lines.append(
            f"{site:<7} {scenario:<22} {policy:<7} {len(group):>2} "
            f"{median(group, 'in_time_share') * 100:>7.2f}% {median(group, 'heavy_p50_ms'):>9.1f} "
            f"{median(group, 'heavy_p99_ms'):>8.1f} "
            f"{median(group, 'heavy_p99_of_all_ms'):>8.1f} "
            f"{median(group, 'heavy_p999_ms'):>8.1f} "
            f"{median(group, 'refused_share') * 100:>7.2f}% "
            f"{median(group, 'unknown_share') * 100:>7.2f}% "
            f"{max(row['most_probes'] for row in group):>7} {group[0]['budget']:>6g} "
            f"{median(group, 'control_bytes'):>8.0f} {median(group, 'entry_cpu'):>9.2f} "
            f"{median(group, 'idle') * 100:>4.0f}%")
    lines += ["", "in time: weighted requests answered in time, of those sent; heavy: the kind of "
              "most weight, ms; p99 all: one not answered counts with its deadline; probes: most",
              "measuring requests of any server in any second; "
              "ctl B/s: sent to other VMs, per VM and second; entry cpu: cores,",
              "all entry processes together; idle: share of the whole machine."]
    return "\n".join(lines)


def format_kinds_table(rows):
    """Returns the latency of each kind and refusals by reason, one block for each run."""
    lines = []
    for row in rows:
        lines.append(f"{row['site']} {row['scenario']} {row['policy']} seed {row['seed']}")
        for kind in row["kinds"]:
            latency = kind["latency"]
            reasons = ", ".join(f"{name} {count}" for name, count in kind["reasons"].items())
            share = 100.0 * kind["in_time"] / max(1, kind["sent"])
            lines.append(
                f"  {kind['kind']:<30} sent {kind['sent']:>6} in time {share:6.2f}%  "
                f"p50 {latency['p50_ms']:7.1f} p99 {latency['p99_ms']:8.1f} "
                f"p99.9 {latency['p999_ms']:8.1f}  {reasons}")
    return "\n".join(lines)


def write_plot(rows, site, folder):
    """Plots bars for each scenario and policy; returns the path of the SVG file."""
    groups = {key: group for key, group in group_rows(rows).items() if key[0] == site}
    scenarios = list(dict.fromkeys(key[1] for key in groups))
    policies = list(dict.fromkeys(key[2] for key in groups))
    data = folder / f"{site}.dat"
    with open(data, "w", encoding="utf-8") as file:
        for scenario in scenarios:
            cells = [f'"{scenario}"']
            for field, scale in (("in_time_share", 100.0), ("heavy_p99_ms", 1.0)):
                for policy in policies:
                    group = groups.get((site, scenario, policy))
                    cells.append(f"{median(group, field) * scale:.3f}" if group else "NaN")
            file.write(" ".join(cells) + "\n")
    count = len(policies)

    def bars(first):
        return ", ".join(f'"{data}" using {first + number}:xtic(1) title "{policy}"'
                         for number, policy in enumerate(policies))

    kind = next(iter(groups.values()))[0]["heavy_kind"]
    output = folder / f"{site}.svg"
    script = GNUPLOT.format(output=output, title=f"{site}: median over seeds", kind=kind,
                            in_time=bars(2), p99=bars(2 + count))
    subprocess.run(["gnuplot"], input=script, text=True, check=True)
    return output


def write_report(rows, folder):
    """Writes rows.json, table.txt, kinds.txt and a plot for each site."""
    (folder / "rows.json").write_text(json.dumps(rows, indent=1))
    (folder / "table.txt").write_text(format_table(rows) + "\n")
    (folder / "kinds.txt").write_text(format_kinds_table(rows) + "\n")
    return [write_plot(rows, site, folder) for site in dict.fromkeys(row["site"] for row in rows)]
