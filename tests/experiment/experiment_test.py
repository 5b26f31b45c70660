#!/usr/bin/env python3
"""What scripts/experiment reports of paired runs. usage: experiment_test.py MODEL_PROGRAM"""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

SCRIPTS = pathlib.Path(__file__).resolve().parents[2] / "scripts"
sys.path.insert(0, str(SCRIPTS))

import experiment_report  # noqa: E402

LOAD = """
name = "two entries"
seconds = 4.0
entries = 2
engines = 4
[[kind]]
name = "short"
per_second = 8.0
prompt_tokens = 5_000
answer_events = 10.0
target_ms = 300
gap_ms = 250
"""
# An external program in the place of a bench: the worth depends on the working tree and the seed.
PLAYER = """#!/usr/bin/env python3
import json, pathlib, sys
seed = int(sys.argv[sys.argv.index("--seed") + 1])
gain = float(pathlib.Path("gain").read_text())
fault = "late" if gain and seed == 2 else None
figures = {"G": 0.1 * (seed % 3) + gain, "served": 1, "refused": 0, "failed": 0, "fault": fault}
pathlib.Path(sys.argv[sys.argv.index("--report") + 1]).write_text(json.dumps(figures))
"""


def runs(*values):
    return {str(run): {"worth": value} for run, value in enumerate(values)}


class PairedDifferences(unittest.TestCase):
    def test_a_constant_gain_shows_through_the_spread_of_the_days(self):
        rows = experiment_report.compare({"a": {"old": runs(0.2, 0.9, 0.5), "new": runs(0.21, 0.91, 0.51)}})
        self.assertAlmostEqual(rows[0]["difference"], 0.01)
        self.assertEqual(rows[0]["verdict"], "higher")

    def test_a_difference_within_two_errors_is_none(self):
        rows = experiment_report.compare({"a": {"old": runs(0.5, 0.5, 0.5), "new": runs(0.6, 0.4, 0.53)}})
        self.assertEqual(rows[0]["verdict"], "no difference")

    def test_a_single_pair_proves_nothing(self):
        rows = experiment_report.compare({"a": {"old": runs(0.5), "new": runs(0.9)}})
        self.assertEqual(rows[0]["verdict"], "no difference")

    def test_the_place_with_the_largest_loss_is_named(self):
        rows = experiment_report.compare({"a": {"old": runs(0.5, 0.5), "new": runs(0.6, 0.6)},
                                          "b": {"old": runs(0.5, 0.5), "new": runs(0.4, 0.4)}})
        self.assertEqual(experiment_report.worst_places(rows)["new"]["place"], "b")


class Experiment(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def run_script(self, *arguments):
        done = subprocess.run([SCRIPTS / "experiment", *arguments, "--out", self.folder / "out", "--jobs", "2"],
                              capture_output=True, text=True, check=True)
        return done.stdout, json.loads((self.folder / "out" / "runs.json").read_text())

    def test_equal_variants_of_the_model_do_not_differ(self):
        load = self.folder / "load.toml"
        load.write_text(LOAD)
        output, results = self.run_script("model", "--model", sys.argv[1], "--seeds", "2", "--variant", "old=",
                                          "--variant", "same=part_ms = 40", load)
        self.assertIn("no difference", output)
        self.assertEqual(results["load.toml"]["old"], results["load.toml"]["same"])

    def test_days_are_played_in_the_tree_of_each_variant(self):
        player = self.folder / "player"
        player.write_text(PLAYER)
        player.chmod(0o755)
        trees = []
        for name, gain in (("old", "0"), ("new", "0.05")):
            (self.folder / name).mkdir()
            (self.folder / name / "gain").write_text(gain)
            trees += ["--tree", f"{name}={self.folder / name}"]
        output, _ = self.run_script("days", "--program", player, "--day", "d1", "--seeds", "3", *trees, "place.toml")
        self.assertIn("+0.0500 +- 0.0000 (3 pairs) higher", output)
        self.assertEqual(output.count("broke a rule"), 1)
        self.assertIn("new broke a rule: place d1, seed 2: late", output)


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1])
