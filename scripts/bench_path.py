"""The whole path: an entry before stand-in engines, against the engines met directly."""

import contextlib
import json
import pathlib
import re
import statistics
import subprocess
import tempfile
import time
import urllib.parse

from bench_process import Usage, memory_bytes
from bench_report import slope
from local_system import CALLER_KEY, MODEL, ROOT, LocalSystem, call, wait_until

# A first token after about 20 ms, and no time for anything that is not measured.
FIRST_TOKEN_ENGINE = {"step.base_us": 1000, "step.per_prefill_token_us": 18.0, "step.per_sequence_us": 1}
# Tokens as fast as they are taken; prompts cost nothing.
FAST_ENGINE = {"step.base_us": 2000, "step.per_prefill_token_us": 0.0, "step.per_sequence_us": 1,
               "step.chunk_tokens": 1000000, "step.max_running": 1024, "memory.blocks": 1000000}
# Twenty tokens a second, so that streams stay open and the scheduler still finds the engines quick enough.
SLOW_ENGINE = {**FAST_ENGINE, "step.base_us": 50000}
OPEN_STREAM_TOKENS = 300
STREAMS = [1, 64, 1024]
OPEN_STREAMS = [64, 256, 1024]
REQUESTS_AT_LEAST = 60
PROMPT_TOKENS = 1000
MILLION = 1000000
BYTES_PER_TOKEN = 4
MAX_QUEUED = 8192
ANNOUNCING = [4, 16, 48]
REST_S = 5
ROUNDS = 3
US = 1e6
# An entry that has learnt little of an engine refuses a million tokens within less as not to be met in time.
REQUEST_TIMEOUT_MS = 600000

# Bounds: ratios of one run, wide enough for a busy machine.
QUICK_FIRST_TOKEN_BOUND = 3.0   # through the entry / met directly, p50, beside 20 ms
QUICK_TOTAL_BOUND = 3.0         # a whole answer of 8 tokens, p50
FIRST_TOKEN_P50_BOUND = 1.25
FIRST_TOKEN_P99_BOUND = 2.0
BODY_COPIES_BOUND = 2.0         # growth of the entry's memory / bytes of a million-token body
BODY_TIME_BOUND = 3.0


class PathSystem(LocalSystem):
    """One entry with a fixed declaration, without control hosts, and engines."""

    def __init__(self, folder, engines, engine_settings):
        super().__init__(folder, controls=0, entries=1, engines=engines, engine_settings=engine_settings)
        self.declaration = self.folder / "declaration.toml"
        self.control_addresses = []

    def _write_declaration(self):
        """The demo's, with limits on waiting work that the largest number of streams stays below."""
        text = (ROOT / "examples" / "demo.toml").read_text()
        text = text.replace("share = 1\n", f"share = 1\nmax_queued = {MAX_QUEUED}\n")
        self.declaration.write_text(text + f"\n[limits]\nmax_queued = {MAX_QUEUED}\n")

    def _spawn(self, name, binary, settings):
        if binary == "pollenstall-entry":
            settings = {**settings, "declaration.file": str(self.declaration), "log_level": "warning"}
        return super()._spawn(name, binary, settings)

    def start_backend(self, name, index, settings):
        """All engines are of the stable group, and write no log line for each request."""
        if settings["kind"] == "model":
            settings = {**settings, "labels": ["track=stable"]}
        super().start_backend(name, index, {**settings, "log_level": "warning"})

    def begin(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        self._write_keys()
        self._write_declaration()
        (self.folder / "caller.key").write_text(CALLER_KEY)
        self._start_entries()
        self._start_backends()
        wait_until(self._ready, "the entry to be ready")
        wait_until(self._backends_seen, "the entry to see every backend server")

    def _ready(self):
        return call(self.entries[0]["operator_url"] + "/readyz")[0] == 200

    @property
    def entry_pid(self):
        return self.entries[0]["pid"]

    def entry_target(self):
        return [urllib.parse.urlsplit(self.entries[0]["url"]).netloc]

    def engine_targets(self):
        return [urllib.parse.urlsplit(one["url"]).netloc for one in self.backends if one["kind"] == "model"]

    def metric(self, name):
        text = call(self.entries[0]["operator_url"] + "/metrics")[2].decode()
        return sum(float(value) for value in re.findall(rf"^{name}(?:\{{.*\}})? ([0-9.e+]+)$", text, re.M))

    def load_command(self, targets, prompt_tokens=PROMPT_TOKENS, answer_tokens=16, count=100, concurrency=1,
                     timeout_ms=REQUEST_TIMEOUT_MS, threads=1):
        words = [str(self.bin / "pollenstall-load"), "--key-file", str(self.folder / "caller.key"), "--model", MODEL,
                 "--mix", f"prompt:{prompt_tokens}:1", "--answer-tokens", str(answer_tokens), "--count", str(count),
                 "--concurrency", str(concurrency), "--timeout-ms", str(timeout_ms), "--threads", str(threads),
                 "--duration-ms", "300000", "--header", f"X-Request-Timeout-Ms: {timeout_ms}"]
        for target in targets:
            words += ["--target", target]
        return words

    def load(self, targets, **settings):
        """Runs the load tool; every answer must be whole and right."""
        done = subprocess.run(self.load_command(targets, **settings), capture_output=True, text=True, check=True,
                              timeout=400)
        metrics = json.loads(done.stdout.splitlines()[-1])["metrics"]
        if metrics["all.complete"] != metrics["all.requests"] or not metrics["all.requests"]:
            outcomes = {name: value for name, value in metrics.items() if name.startswith(("outcome", "status"))}
            raise ValueError(f"{metrics['all.complete']} of {metrics['all.requests']} answers were whole: {outcomes}")
        return metrics


@contextlib.contextmanager
def running(engines, engine_settings):
    with tempfile.TemporaryDirectory(prefix="bench-") as folder:
        system = PathSystem(pathlib.Path(folder), engines, engine_settings)
        try:
            system.begin()
            yield system
        finally:
            system.stop()


# ---- time to first token ---------------------------------------------------------------------------


def first_token(report, count, concurrency, answer_tokens):
    """Through the entry and directly, in turns, so that a busy moment meets both."""
    found = {"entry": [], "direct": []}
    with running(1, FIRST_TOKEN_ENGINE) as system:
        targets = {"entry": system.entry_target(), "direct": system.engine_targets()}
        for target in targets.values():
            system.load(target, count=5)
        for _ in range(ROUNDS):
            for name, target in targets.items():
                found[name].append(system.load(target, count=count, concurrency=concurrency,
                                               answer_tokens=answer_tokens))
    middle = {name: {key: statistics.median(one[key] for one in runs) for key in
                     ("all.ttft_p50_ms", "all.ttft_p99_ms", "all.total_p50_ms")} for name, runs in found.items()}
    entry, direct = middle["entry"], middle["direct"]
    report.figures("first_token", concurrency=concurrency, count=count, rounds=ROUNDS,
                   direct_p50_ms=round(direct["all.ttft_p50_ms"], 3), direct_p99_ms=round(direct["all.ttft_p99_ms"], 3),
                   added_p50_ms=round(entry["all.ttft_p50_ms"] - direct["all.ttft_p50_ms"], 3),
                   added_p99_ms=round(entry["all.ttft_p99_ms"] - direct["all.ttft_p99_ms"], 3))
    return {key: entry[key] / direct[key] for key in entry}


def measure_path_quick(report):
    ratios = first_token(report, count=40, concurrency=1, answer_tokens=8)
    report.at_most("path: first token p50 through an entry / direct", ratios["all.ttft_p50_ms"],
                   QUICK_FIRST_TOKEN_BOUND)
    report.at_most("path: whole answer p50 through an entry / direct", ratios["all.total_p50_ms"], QUICK_TOTAL_BOUND)
    body(report)


# ---- processor time --------------------------------------------------------------------------------


def entry_cost(system, answer_tokens, count, streams):
    with Usage(system.entry_pid) as usage:
        metrics = system.load(system.entry_target(), answer_tokens=answer_tokens, count=count, concurrency=streams,
                              threads=2 if streams > 64 else 1)
    return usage.cpu_s, metrics


def cost_at(report, streams, requests):
    """Two answer lengths with as many requests: their difference is the events' cost alone."""
    short, long = 4, 204
    with running(4, FAST_ENGINE) as system:
        # An entry that has not learnt how quick the engines are would refuse a burst as not to be met in time.
        for step in (4, 64, streams):
            system.load(system.entry_target(), count=4 * min(step, streams), concurrency=min(step, streams))
        short_cpu, short_run = entry_cost(system, short, requests, streams)
        long_cpu, long_run = entry_cost(system, long, requests, streams)
    event_us = US * (long_cpu - short_cpu) / (long_run["events"] - short_run["events"])
    request_us = US * short_cpu / requests - event_us * short_run["events"] / requests
    report.figures("entry_cpu", streams=streams, requests=requests, cpu_us_per_event=round(event_us, 2),
                   cpu_us_per_request=round(request_us, 1), requests_per_s=round(short_run["complete_per_s"], 1),
                   events_per_s=round(long_run["events_per_s"], 1),
                   entry_cores_at_events=round(long_cpu / long_run["elapsed_s"], 3))


# ---- memory ----------------------------------------------------------------------------------------


def most_open(system, wanted, load):
    """The greatest number of streams that were open at once, and the entry's memory then."""
    most = (0, 0)
    while load.poll() is None and most[0] < wanted:
        found = (int(system.metric("pollenstall_open_streams")), memory_bytes(system.entry_pid))
        most = max(most, found)
        time.sleep(0.1)
    return most


def stream_memory(report):
    """Resident memory with so many streams open at once; one entry for all sizes, rising.

    The scheduler lets 64 requests run on an engine until it knows better, so there are 16 of them.
    """
    points = []
    with running(16, SLOW_ENGINE) as system:
        system.load(system.entry_target(), count=16, concurrency=4, answer_tokens=2)
        for streams in OPEN_STREAMS:
            command = system.load_command(system.entry_target(), count=streams, concurrency=streams,
                                          answer_tokens=OPEN_STREAM_TOKENS, threads=2)
            load = subprocess.Popen(command, stdout=subprocess.DEVNULL)
            try:
                points.append(most_open(system, streams, load))
            finally:
                load.wait(timeout=120)
    per_stream, base = slope(points)
    report.figures("stream_memory", streams=[x for x, _ in points], rss_kb=[y // 1024 for _, y in points],
                   kb_per_stream=round(per_stream / 1024, 2), kb_without=round(base / 1024))


def body(report):
    """A million-token body: the entry's greatest memory and the time, against the engine met directly."""
    bytes_sent = MILLION * BYTES_PER_TOKEN
    sent = {"prompt_tokens": MILLION, "answer_tokens": 2, "count": 1}
    with running(1, FAST_ENGINE) as system:
        system.load(system.entry_target(), count=2)
        before = memory_bytes(system.entry_pid, "VmHWM")
        with Usage(system.entry_pid) as usage:
            entry = system.load(system.entry_target(), **sent)
        grown = memory_bytes(system.entry_pid, "VmHWM") - before
        after_s = wait_released(system, before)
        direct = [system.load(system.engine_targets(), **sent)
                  for _ in range(2)]
        more = [system.load(system.entry_target(), **sent) for _ in range(2)]
    entry_ms = min(one["all.ttft_p50_ms"] for one in [entry, *more])
    direct_ms = min(one["all.ttft_p50_ms"] for one in direct)
    report.figures("million_token_body", body_bytes=bytes_sent, entry_memory_grown_kb=grown // 1024,
                   entry_cpu_ms=round(1000 * usage.cpu_s, 2), first_token_ms=round(entry_ms, 1),
                   direct_first_token_ms=round(direct_ms, 1), resident_left_kb=after_s // 1024)
    report.at_most("path: entry's memory for a million-token body / its bytes", grown / bytes_sent, BODY_COPIES_BOUND)
    report.at_most("path: first token of a million-token body through an entry / direct", entry_ms / direct_ms,
                   BODY_TIME_BOUND)


def wait_released(system, before):
    """Resident memory above Before, once the body has been let go."""
    wait_until(lambda: system.metric("pollenstall_body_bytes") == 0, "the body to be let go")
    time.sleep(0.2)
    return max(0, memory_bytes(system.entry_pid) - before)


# ---- announcements ---------------------------------------------------------------------------------


def announcements(report):
    """An entry at rest that all engines announce themselves to, twice a second each."""
    points = []
    for engines in ANNOUNCING:
        with running(engines, FAST_ENGINE) as system:
            time.sleep(REST_S)
            begun = time.monotonic()
            with Usage(system.entry_pid) as usage:
                time.sleep(REST_S)
            points.append((engines, usage.cpu_s / (time.monotonic() - begun), memory_bytes(system.entry_pid)))
    cpu, cpu_base = slope([(engines, cpu_s) for engines, cpu_s, _ in points])
    memory, _ = slope([(engines, rss) for engines, _, rss in points])
    report.figures("announcements", engines=ANNOUNCING, cpu_us_per_s=[round(US * cpu_s) for _, cpu_s, _ in points],
                   rss_kb=[rss // 1024 for _, _, rss in points], cpu_us_per_s_per_engine=round(US * cpu, 1),
                   cpu_us_per_s_without=round(US * cpu_base), kb_per_engine=round(memory / 1024, 1))


def measure_path(report):
    ratios = first_token(report, count=300, concurrency=1, answer_tokens=16)
    report.at_most("path: first token p50 through an entry / direct", ratios["all.ttft_p50_ms"], FIRST_TOKEN_P50_BOUND)
    report.at_most("path: first token p99 through an entry / direct", ratios["all.ttft_p99_ms"], FIRST_TOKEN_P99_BOUND)
    for streams in STREAMS:
        cost_at(report, streams, requests=max(REQUESTS_AT_LEAST, 4 * streams))
    stream_memory(report)
    announcements(report)
    body(report)
