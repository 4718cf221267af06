"""Runs the test command from README.md and compares the results with KNOWN-RED.txt.

Each entry of KNOWN-RED.txt starts with a line `test: NAME`. A listed test runs like any other: its
failure is printed but does not fail the run, while a pass or a missing result does, so that the
entry gets removed.
"""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
KNOWN_FAILURES = ROOT / "KNOWN-RED.txt"
RESULT = re.compile(r"^test (\S+)(?: - should panic)?\s+\.\.\. (ok|FAILED|ignored)", re.MULTILINE)
LIBTEST_FAILURE_CODE = 101


def read_known_failures() -> set[str]:
    if not KNOWN_FAILURES.exists():
        return set()
    entries = KNOWN_FAILURES.read_text(encoding="utf-8")
    return set(re.findall(r"^test: (\S+)", entries, re.MULTILINE))


def read_test_command() -> list[str]:
    readme = (ROOT / "README.md").read_text(encoding="utf-8")
    command = re.search(r"^cargo test .*$", readme, re.MULTILINE)
    if command is None:
        sys.exit("README.md has no line with the test command")
    return command.group(0).split()


def main() -> int:
    known_failures = read_known_failures()
    completed = subprocess.run(
        [*read_test_command(), "--no-fail-fast"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
        check=False,
    )
    print(completed.stdout)
    results = RESULT.findall(completed.stdout)
    passed = {name for name, result in results if result == "ok"}
    failed = {name for name, result in results if result == "FAILED"}
    problems = [f"failed: {name}" for name in sorted(failed - known_failures)]
    problems += [
        f"listed in KNOWN-RED.txt but passes: {name}"
        for name in sorted(known_failures & (passed - failed))
    ]
    problems += [
        f"listed in KNOWN-RED.txt but did not run: {name}"
        for name in sorted(known_failures - passed - failed)
    ]
    if completed.returncode != 0 and not failed:
        problems.append(f"the test command ended with {completed.returncode} and no failed test")
    if completed.returncode not in (0, LIBTEST_FAILURE_CODE):
        problems.append(f"the test command ended with {completed.returncode}")
    if not results:
        problems.append("no test ran")
    for name in sorted(failed & known_failures):
        print(f"known red: {name}")
    for problem in problems:
        print(problem)
    print(f"{len(passed)} passed, {len(failed - known_failures)} failed")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
