"""Draws time to first token against load by length class with gnuplot."""

import shutil
import subprocess

from local_system import ROOT

FOLDER = ROOT / "bench-out"
CLASSES = ["short", "medium", "long"]


def draw_policy(runs):
    """One picture a scenario; scenarios that were run at one load only are drawn as one point."""
    if not shutil.which("gnuplot"):
        return
    FOLDER.mkdir(exist_ok=True)
    runs = [run for run in runs if "scenario" in run and "load" in run]
    fleets = sorted({run["scenario"].split("_")[0] for run in runs})
    for fleet in fleets:
        _draw_fleet(fleet, [run for run in runs if _is_plain(run["scenario"], fleet)])


def _is_plain(scenario, fleet):
    """Scenarios that differ in load only."""
    return scenario in (fleet, f"{fleet}_capacity", f"{fleet}_twice_capacity") or scenario.startswith(f"{fleet}_load")


def _draw_fleet(fleet, runs):
    policies = sorted({run["policy"] for run in runs})
    for length in CLASSES:
        data = FOLDER / f"{fleet}_{length}.dat"
        blocks = []
        for policy in policies:
            rows = sorted((run["load"], run[length]["p50"], run[length]["p99"])
                          for run in runs if run["policy"] == policy)
            blocks.append(f'"{policy}"\n' + "\n".join(" ".join(map(str, row)) for row in rows))
        data.write_text("\n\n\n".join(blocks) + "\n")
        _gnuplot(data, FOLDER / f"{fleet}_{length}.svg", f"{fleet}, {length} prompts", len(policies))


def _gnuplot(data, picture, title, count):
    script = (f'set terminal svg size 800,500; set output "{picture}"; set title "{title}";'
              'set xlabel "load / capacity"; set ylabel "time to first token, p99, s"; set logscale y; set key outside;'
              f'plot for [i=0:{count - 1}] "{data}" index i using 1:3 with linespoints title columnheader(1)')
    subprocess.run(["gnuplot", "-e", script], check=False)
