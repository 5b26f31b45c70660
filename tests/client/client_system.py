#!/usr/bin/env python3
"""Starts a whole system for the client library's test and keeps it until standard input ends.

usage: tests/client/client_system.py FOLDER
Prints one JSON line, the endpoints, when every entry is ready; exit code 0 only if every process ended well.
"""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

from local_system import LocalSystem, SystemFailure  # noqa: E402

CONTROLS, ENTRIES, ENGINES = 1, 2, 2


def main():
    system = LocalSystem(sys.argv[1], controls=CONTROLS, entries=ENTRIES, engines=ENGINES,
                         engine_settings={"capabilities.resumes": False, "resume_window_ms": 200})
    try:
        system.start(ROOT / "examples" / "demo.toml")
        print(json.dumps(json.loads(system.write_endpoints().read_text())), flush=True)
        sys.stdin.read()
    except SystemFailure as error:
        print(f"client_system: {error}", file=sys.stderr)
        return 1
    finally:
        codes = system.stop()
    wrong = {name: code for name, code in codes.items() if code != 0}
    if wrong:
        print(f"client_system: exit codes: {wrong}", file=sys.stderr)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
