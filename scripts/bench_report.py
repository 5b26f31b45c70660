"""JSON lines of figures and bounds."""

import json
import sys


class Report:
    """Prints what was measured and counts the bounds that were passed."""

    def __init__(self, out=sys.stdout):
        self.out = out
        self.passed = 0
        self.failed = 0

    def line(self, text):
        print(text, file=self.out, flush=True)

    def figures(self, bench, **values):
        self.line(json.dumps({"bench": bench, **values}))

    def at_most(self, name, value, bound):
        self._bound(name, value, bound, "at_most", value <= bound)

    def at_least(self, name, value, bound):
        self._bound(name, value, bound, "at_least", value >= bound)

    def failure(self, part, problem):
        """The part gave no figures; that is never taken for a pass."""
        self.failed += 1
        self.line(json.dumps({"failed": part, "problem": problem}))

    def _bound(self, name, value, bound, side, held):
        if not held:
            self.passed += 1
        self.line(json.dumps({"bound": name, "value": round(value, 4), side: bound, "held": held}))


def slope(points):
    """Least squares: (slope, value at 0) of (x, y) pairs."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    below = sum((x - mean_x) ** 2 for x, _ in points)
    steep = sum((x - mean_x) * (y - mean_y) for x, y in points) / below
    return steep, mean_y - steep * mean_x
