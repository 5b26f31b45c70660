"""Processor time, memory and traffic of a process, from the kernel."""

import pathlib
import re
import subprocess

NS_PER_S = 1e9
KB = 1024


def cpu_seconds(pid):
    """Processor time of all threads so far; threads that have ended are not in it."""
    total = 0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        try:
            total += int((task / "schedstat").read_text().split()[0])
        except FileNotFoundError:
            continue
    return total / NS_PER_S


def memory_bytes(pid, key="VmRSS"):
    """VmRSS: resident now; VmHWM: the most so far."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(key + ":"):
            return int(line.split()[1]) * KB
    raise ValueError(f"/proc/{pid}/status has no {key}")


def tcp_bytes(pid):
    """Payload bytes (sent, received) of the process's established connections, as the kernel counts them."""
    shown = subprocess.run(["ss", "-tinpH", "state", "established"], capture_output=True, text=True, check=True)
    sent = received = 0
    mine = False
    for line in shown.stdout.splitlines():
        if not line[:1].isspace():
            mine = f"pid={pid}," in line
        elif mine:
            sent += sum(map(int, re.findall(r"bytes_sent:(\d+)", line)))
            received += sum(map(int, re.findall(r"bytes_received:(\d+)", line)))
    return sent, received


class Usage:
    """Processor time that a process uses between the start and the end of a block."""

    def __init__(self, pid):
        self.pid = pid
        self.cpu_s = 0.0

    def __enter__(self):
        self.before = cpu_seconds(self.pid)
        return self

    def __exit__(self, *_):
        self.cpu_s = cpu_seconds(self.pid) - self.before
