#!/usr/bin/env python3
"""What scripts/trace finds in logs of several hosts."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

TRACE = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "trace"


def line(time, event, **fields):
    return json.dumps({"time_unix_ms": time, "event": event, **fields})


def ended(time, request, send, outcome, reason):
    return line(time, "request_ended", request=request, send=send, outcome=outcome, reason=reason)


class TraceOfARequest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def trace(self, wanted, *logs):
        paths = []
        for place, lines in enumerate(logs):
            path = pathlib.Path(self.folder.name) / f"host-{place}"
            path.write_text("\n".join(lines) + "\n")
            paths.append(str(path))
        done = subprocess.run([sys.executable, TRACE, wanted, *paths], capture_output=True, text=True, check=False)
        return done.returncode, done.stdout.splitlines()

    # The caller saw a refusal. Two tries met two engines, both said that they were full; the last one decided.
    def test_names_the_last_failed_attempt_where_backend_servers_decided(self):
        log = [line(1, "attempt_started", attempt="h/7/3/1", backend="a"),
               line(2, "attempt_failed", attempt="h/7/3/1", failure="declined"),
               line(3, "attempt_started", attempt="h/7/3/2", backend="b"),
               line(4, "attempt_failed", attempt="h/7/3/2", failure="broken_sent"),
               ended(5, "h-7-3", "s1", "unknown", "retries_exhausted")]
        code, shown = self.trace("s1", log)
        self.assertEqual(code, 0)
        self.assertEqual(len(shown), 5)
        self.assertEqual([text for text in shown if text.startswith("=>")],
                         [text for text in shown if "broken_sent" in text])

    # An attempt failed, and the service had no retry left: the engines decided less than the budget.
    def test_names_the_refused_retry_where_the_budget_was_used_up(self):
        log = [line(1, "attempt_started", attempt="h/7/6/1", backend="a"),
               line(2, "attempt_failed", attempt="h/7/6/1", failure="declined"),
               line(3, "retry_decided", attempt="h/7/6/1", service="llm", verdict="refused", left=0.4),
               ended(4, "h-7-6", "s6", "not-run", "retries_exhausted")]
        _, shown = self.trace("s6", log)
        self.assertEqual([text for text in shown if text.startswith("=>")],
                         [text for text in shown if "verdict=refused" in text])
        self.assertIn("1 no retry left for llm", self.trace("--failed", log)[1][0])

    # The request waited and was refused: no engine had a part in it.
    def test_names_the_end_where_the_entry_decided(self):
        code, shown = self.trace("h-7-4", [ended(5, "h-7-4", "s2", "not-run", "queue_full")])
        self.assertEqual(code, 0)
        self.assertTrue(shown[0].startswith("=>") and "queue_full" in shown[0])

    # An earlier attempt failed, but it was the deadline that ended the request.
    def test_names_the_deadline_though_an_attempt_failed_before(self):
        log = [line(2, "attempt_failed", attempt="h/7/5/1", failure="declined"),
               ended(9, "h-7-5", "s3", "unknown", "deadline_exceeded")]
        _, shown = self.trace("h/7/5/1", log)
        self.assertTrue(shown[-1].startswith("=>"))

    # One send reached two entries; lines of others, and text that is no log, are passed over.
    def test_joins_the_hosts_in_order_of_time(self):
        code, shown = self.trace("s4", ["not a line", "{broken", ended(8, "a-1-1", "s4", "complete", "none")],
                                 ["  0.1 host " + ended(3, "b-1-1", "s4", "not-run", "not_ready"),
                                  ended(4, "b-1-2", "s5", "complete", "none")])
        self.assertEqual(code, 0)
        self.assertIn("not_ready", shown[0])
        self.assertEqual(len(shown), 2)

    # An entry was killed while an answer was under way: no line tells an end, but the entry's next life begins later. The
    # start of another host says nothing of it.
    def test_names_the_next_start_where_the_entrys_process_ended(self):
        log = ["  1.0 host-a " + line(1, "listening", what="callers"),
               "  1.1 host-a " + line(2, "attempt_started", attempt="a/7/6/1", backend="x"),
               "  1.2 host-b " + line(3, "listening", what="callers"),
               "  1.3 host-a " + line(9, "listening", what="callers")]
        code, shown = self.trace("a/7/6/1", log)
        self.assertEqual(code, 0)
        self.assertEqual([text for text in shown if text.startswith("=>")], [text for text in shown if " 9 " in text])

    # A day's failed requests by cause: whole ones are left out, and one that nothing explains is said to be so.
    def test_counts_the_causes_of_all_failed_requests(self):
        log = [ended(1, "h-7-1", "s1", "complete", "none"),
               ended(2, "h-7-2", "s2", "not-run", "queue_full"),
               ended(3, "h-7-3", "s3", "not-run", "queue_full"),
               ended(4, "", "s4", "not-run", "not_ready"),
               line(5, "attempt_started", attempt="h/7/5/1", backend="x")]
        code, shown = self.trace("--failed", log)
        self.assertEqual(code, 1)
        self.assertEqual([text.split(",")[0].split(None, 1) for text in shown],
                         [["2", "not-run queue_full"], ["1", "not-run not_ready"], ["1", "no cause found"]])
        self.assertEqual(self.trace("--failed", log[:4])[0], 0)

    # The entry refused it before it had an id of ours: only the caller's own name tells it.
    def test_finds_a_call_that_was_refused_at_once(self):
        code, shown = self.trace("s7", [ended(5, "", "s7", "not-run", "not_ready"), ended(6, "", "s8", "not-run", "not_ready")])
        self.assertEqual((code, len(shown)), (0, 1))
        self.assertTrue(shown[0].startswith("=>"))

    def test_says_so_where_nothing_is_known(self):
        code, shown = self.trace("s9", [ended(8, "a-1-1", "s4", "complete", "none")])
        self.assertEqual((code, shown), (1, []))


if __name__ == "__main__":
    unittest.main()
