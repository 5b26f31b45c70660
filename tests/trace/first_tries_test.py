#!/usr/bin/env python3
"""What scripts/first_tries finds in logs of entries behind a cut."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "first_tries"


def ended(host, time, peer, outcome="complete", account="a"):
    line = {"time_unix_ms": time, "event": "request_ended", "account": account, "outcome": outcome,
            "reason": "none" if outcome == "complete" else "caller_left", "peer": peer, "connect_ms": 3, "ms": 10}
    return f"{host} {json.dumps(line)}"


class LogsOfACut(unittest.TestCase):
    def compare(self, *lines):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text("\n".join(lines) + "\n")
            done = subprocess.run([sys.executable, SCRIPT, "1000", "2000", path], capture_output=True, text=True,
                                  check=False)
        return done.returncode, done.stdout.splitlines()

    def test_compares_carried_entries_with_the_others(self):
        code, text = self.compare(ended("cut", 1100, "p"), ended("cut", 1200, "p", "unknown"),
                                  ended("whole", 1100, ""), ended("whole", 1200, ""),
                                  ended("whole", 1300, "", account=""))
        self.assertEqual(code, 0)
        self.assertEqual(text[0], "carried: 1 entries, 1 of 2 complete, connected after 3.0 ms")
        self.assertEqual(text[-1], "ratio 0.500")

    # A request that ends after the cut may have been sent directly.
    def test_takes_no_request_that_ended_later_as_a_sign_of_a_direct_path(self):
        _, text = self.compare(ended("cut", 1100, "p"), ended("cut", 2001, ""), ended("whole", 1100, ""))
        self.assertTrue(text[0].startswith("carried: 1 entries, 2 of 2"))

    def test_says_so_without_a_cut(self):
        code, text = self.compare(ended("whole", 1100, ""))
        self.assertEqual((code, text[-1]), (1, "nothing to compare"))


if __name__ == "__main__":
    unittest.main()
