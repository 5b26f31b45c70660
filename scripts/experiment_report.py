"""Paired comparison of variants: mean differences with their errors, a CSV table and a plot."""

import csv
import math
import shutil
import statistics
import subprocess

SIGNIFICANT_ERRORS = 2
MIN_PAIRS = 2


def paired_difference(standing, other):
    """Mean of other - standing over the keys of both, its standard error, and the number of pairs."""
    keys = sorted(standing.keys() & other.keys())
    differences = [other[key] - standing[key] for key in keys]
    if len(differences) < MIN_PAIRS:
        return (differences[0] if differences else math.nan), math.inf, len(differences)
    error = statistics.stdev(differences) / math.sqrt(len(differences))
    return statistics.fmean(differences), error, len(differences)


def verdict(mean, error):
    """What the difference shows at two standard errors."""
    if not abs(mean) > SIGNIFICANT_ERRORS * error:
        return "no difference"
    return "higher" if mean > 0 else "lower"


def compare(results, figure="worth"):
    """Rows of all places and variants but the first; results[place][variant][run][figure]."""
    rows = []
    for place, variants in results.items():
        names = list(variants)
        values = {name: {run: figures[figure] for run, figures in variants[name].items()} for name in names}
        standing = values[names[0]]
        for name in names[1:]:
            mean, error, pairs = paired_difference(standing, values[name])
            rows.append({"place": place, "variant": name, "figure": figure, "pairs": pairs,
                         "standing": statistics.fmean(standing.values()),
                         "difference": mean, "error": error, "verdict": verdict(mean, error)})
    return rows


def worst_places(rows, figure="worth"):
    """For each variant, the row of the place where it loses most of the figure."""
    worst = {}
    for row in rows:
        if row["figure"] != figure:
            continue
        if row["variant"] not in worst or row["difference"] < worst[row["variant"]]["difference"]:
            worst[row["variant"]] = row
    return worst


def print_rows(rows, out):
    for row in rows:
        print(f'{row["variant"]:<20} {row["place"]:<34} {row["figure"]:<10} {row["standing"]:.4f} '
              f'{row["difference"]:+.4f} +- {row["error"]:.4f} ({row["pairs"]} pairs) {row["verdict"]}', file=out)
    for variant, row in worst_places(rows).items():
        print(f'{variant}: worst at {row["place"]}, {row["difference"]:+.4f}', file=out)


def write_csv(rows, path):
    with open(path, "w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, fieldnames=list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)


def draw(rows, path):
    """Draws each difference with two standard errors; needs gnuplot."""
    if not shutil.which("gnuplot"):
        return
    data = path.with_suffix(".dat")
    data.write_text("".join(f'"{row["variant"]} {row["place"]}" {row["difference"]} '
                            f'{SIGNIFICANT_ERRORS * row["error"]}\n' for row in rows), encoding="utf-8")
    script = (f'set terminal svg size 900,{120 + 24 * len(rows)}; set output "{path}"; set yrange [{len(rows)}:-1];'
              'set xlabel "difference of the worth"; set xzeroaxis; unset key; set grid x; set lmargin 50;'
              f'plot "{data}" using 2:0:3:ytic(1) with xerrorbars pointtype 7')
    subprocess.run(["gnuplot", "-e", script], check=False)
