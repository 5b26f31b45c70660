"""Control hosts at rest and with changes: processor time, bytes and memory against entries and accounts."""

import contextlib
import hashlib
import pathlib
import re
import tempfile
import time

from bench_process import cpu_seconds, memory_bytes, tcp_bytes
from bench_report import slope
from local_system import ROOT, LocalSystem, call

ENTRIES = [4, 16, 48]
ACCOUNTS = [10, 110, 1100]
REST_S = 10
CHANGES = 10
MS = 1000
US = 1e6
# Bytes at the leader for one more entry: traffic that grows faster than the entries shows as a ratio above 1.
LINEAR_BOUND = 1.5


class ControlSystem(LocalSystem):
    """Three control hosts and entries; no engines."""

    def __init__(self, folder, entries):
        super().__init__(folder, controls=3, entries=entries, engines=0)

    def leader(self):
        for host in self.control:
            if re.search(r"^pollenstall_control_leads 1", self._metrics(host), re.M):
                return host
        raise ValueError("no control host leads")

    def followers(self):
        leader = self.leader()
        return [host for host in self.control if host is not leader]

    def _metrics(self, host):
        return call(host["operator_url"] + "/metrics")[2].decode()


@contextlib.contextmanager
def running(entries):
    with tempfile.TemporaryDirectory(prefix="bench-") as folder:
        system = ControlSystem(pathlib.Path(folder), entries)
        try:
            system.start(ROOT / "examples" / "demo.toml")
            yield system
        finally:
            system.stop()


class Sample:
    """What one process used in a span."""

    def __init__(self, pid):
        self.pid = pid
        self.begun = time.monotonic()
        self.cpu = cpu_seconds(pid)
        self.sent, self.received = tcp_bytes(pid)

    def end(self):
        seconds = time.monotonic() - self.begun
        sent, received = tcp_bytes(self.pid)
        return {"cpu_us_per_s": US * (cpu_seconds(self.pid) - self.cpu) / seconds,
                "sent_per_s": (sent - self.sent) / seconds, "received_per_s": (received - self.received) / seconds,
                "rss_kb": memory_bytes(self.pid) / 1024}


def rounded(values):
    return {key: round(value, 1) for key, value in values.items()}


def rest(report, entries):
    with running(entries) as system:
        time.sleep(REST_S / 2)  # The start's own traffic is not rest.
        samples = {"leader": Sample(system.leader()["pid"]), "follower": Sample(system.followers()[0]["pid"]),
                   "entry": Sample(system.entries[0]["pid"])}
        time.sleep(REST_S)
        ends = {role: sample.end() for role, sample in samples.items()}
    for role, end in ends.items():
        report.figures("control_rest", role=role, entries=entries, seconds=REST_S, **rounded(end))
    return ends


def measure_rest(report):
    found = {entries: rest(report, entries) for entries in ENTRIES}
    for key in ("cpu_us_per_s", "sent_per_s", "received_per_s", "rss_kb"):
        each, base = slope([(entries, ends["leader"][key]) for entries, ends in found.items()])
        report.figures("control_slope", role="leader", figure=key, per_entry=round(each, 2), without=round(base, 1))
    least, middle, most = ENTRIES
    traffic = {entries: ends["leader"]["sent_per_s"] + ends["leader"]["received_per_s"]
               for entries, ends in found.items()}
    first = (traffic[middle] - traffic[least]) / (middle - least)
    last = (traffic[most] - traffic[middle]) / (most - middle)
    report.at_most(f"control: leader's bytes for one more entry from {middle} to {most} / from {least} to {middle}",
                   last / first, LINEAR_BOUND)


def declaration_of(accounts, number):
    """The demo's declaration with so many accounts; each number gives another text."""
    text = (ROOT / "examples" / "demo.toml").read_text()
    rows = [f'[[account]]\nname = "account-{place}"\nkey_hashes = ["{hashlib.sha256(str(place).encode()).hexdigest()}"]\n'
            f'share = {1 + (place + number) % 7}\n' for place in range(accounts)]
    return text + "\n" + "\n".join(rows)


def folder_bytes(host):
    return sum(file.stat().st_size for file in pathlib.Path(host["data"]).rglob("*") if file.is_file())


def change(system, accounts, number):
    file = system.folder / "change.toml"
    file.write_text(declaration_of(accounts, number))
    begun = time.monotonic()
    system.apply(file)
    return time.monotonic() - begun


def changes_at(report, accounts, entries):
    with running(entries) as system:
        change(system, accounts, 0)
        leader = system.leader()
        before = folder_bytes(leader)
        sample = Sample(leader["pid"])
        follower = Sample(system.followers()[0]["pid"])
        entry = Sample(system.entries[0]["pid"])
        times = sorted(change(system, accounts, number) for number in range(1, CHANGES + 1))
        seconds = time.monotonic() - sample.begun
        ends = {"leader": sample.end(), "follower": follower.end(), "entry": entry.end()}
        grown = folder_bytes(leader) - before
    per_change = seconds / CHANGES
    report.figures("control_change", accounts=accounts, entries=entries, changes=CHANGES,
                   text_bytes=len(declaration_of(accounts, 1)), log_bytes_per_change=round(grown / CHANGES),
                   in_force_median_ms=round(MS * times[len(times) // 2], 1), in_force_max_ms=round(MS * times[-1], 1),
                   **{f"{role}_cpu_ms_per_change": round(end["cpu_us_per_s"] * per_change / MS, 2)
                      for role, end in ends.items()},
                   **{f"{role}_sent_bytes_per_change": round(end["sent_per_s"] * per_change) for role, end in ends.items()},
                   **{f"{role}_received_bytes_per_change": round(end["received_per_s"] * per_change)
                      for role, end in ends.items()},
                   **{f"{role}_rss_kb": round(end["rss_kb"]) for role, end in ends.items()})


def measure_control(report):
    measure_rest(report)
    for accounts in ACCOUNTS:
        changes_at(report, accounts, ENTRIES[0])
    for entries in ENTRIES[1:]:
        changes_at(report, ACCOUNTS[-1], entries)
