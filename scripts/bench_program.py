"""Runs the measuring programs of build/bench and passes their JSON lines on."""

import json
import subprocess

from local_system import ROOT

BENCHES = ROOT / "build" / "bench"
MODEL = ROOT / "build" / "bin" / "pollenstall-model"
PLACEMENT_LOADS = ["accra.load.toml", "sognebrev.load.toml"]
# Pairs of seeds of either load lie between 1.41 and 1.72.
PLACEMENT_BOUND = 1.35
# One sync for 256 entries against one each; a disk that gains nothing by sharing would give 1.
SHARED_SYNC_BOUND = 0.5
# An entry of a burst of 256 through the replicas against an entry alone.
BURST_BOUND = 1.5


def start_program(name, *words):
    return subprocess.Popen([BENCHES / name, *words], stdout=subprocess.PIPE, text=True)


def finish_program(report, part, process):
    """Passes the lines on; the exit code is the program's own judgement of its bounds."""
    text, _ = process.communicate()
    lines = [line for line in text.splitlines() if line]
    broken = 0
    for line in lines:
        report.line(line)
        broken += json.loads(line).get("held") is False
    if broken:
        report.passed += broken
    elif process.returncode != 0:
        report.failure(part, f"exit code {process.returncode}")
    return [json.loads(line) for line in lines]


def run_program(report, part, name, *words):
    return finish_program(report, part, start_program(name, *words))


def measure_placement(report, seeds):
    """The fleet model's example loads: placement against plain balancers on the same requests."""
    for load in PLACEMENT_LOADS:
        shown = subprocess.run([MODEL, "--seeds", str(seeds), ROOT / "examples" / load], capture_output=True,
                               text=True, check=True)
        worth = {}
        for line in shown.stdout.splitlines():
            report.line(line)
            worth[json.loads(line)["policy"]] = json.loads(line)["worth"]
        best = max(part for policy, part in worth.items() if policy != "placement")
        report.at_least(f"placement: {load}: worth served against the best plain balancer",
                        worth["placement"] / best, PLACEMENT_BOUND)


def measure_consensus(report):
    """Google Benchmark's figures, and what sharing a sync or a burst is worth."""
    shown = subprocess.run([BENCHES / "consensus_bench", "--benchmark_format=json"], capture_output=True,
                           text=True, check=True)
    per_entry_us = {}
    for run in json.loads(shown.stdout)["benchmarks"]:
        report.figures("consensus", name=run["name"], real_time=round(run["real_time"], 2),
                       cpu_time=round(run["cpu_time"], 2), unit=run["time_unit"],
                       items_per_s=round(run.get("items_per_second", 0)))
        if run.get("items_per_second"):
            per_entry_us[run["name"].removesuffix("/real_time")] = 1e6 / run["items_per_second"]
    report.at_most("consensus: synced entry of a batch of 256 / alone",
                   per_entry_us["appendAndSync/256"] / per_entry_us["appendAndSync/1"], SHARED_SYNC_BOUND)
    report.at_most("consensus: replicated entry of a burst of 256 / alone",
                   per_entry_us["replicate/256"] / per_entry_us["replicate/1"], BURST_BOUND)
