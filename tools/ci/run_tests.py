"""Runs README's test command and judges it against KNOWN-RED.txt.

Each entry of KNOWN-RED.txt starts with a line `test: NAME`. Such a test runs like every other one:
its failure is printed and passed over, and its success fails the run, so that the entry is removed.
"""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
RESULT = re.compile(r"^test (\S+)(?: - should panic)?\s+\.\.\. (ok|FAILED|ignored)", re.MULTILINE)
LIBTEST_FAILURE = 101


def known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", KNOWN_RED.read_text(encoding="utf-8"), re.MULTILINE))


def test_command() -> list[str]:
    readme = (ROOT / "README.md").read_text(encoding="utf-8")
    command = re.search(r"^cargo test .*$", readme, re.MULTILINE)
    if command is None:
        sys.exit("README.md has no line with the test command")
    return command.group(0).split()


def main() -> int:
    red = known_red()
    run = subprocess.run(
        [*test_command(), "--no-fail-fast"], cwd=ROOT, stdout=subprocess.PIPE, text=True, check=False
    )
    print(run.stdout)
    results = RESULT.findall(run.stdout)
    passed = {name for name, result in results if result == "ok"}
    failed = {name for name, result in results if result == "FAILED"}
    faults = [f"failed: {name}" for name in sorted(failed - red)]
    faults += [f"listed in KNOWN-RED.txt but passes: {name}" for name in sorted(red & (passed - failed))]
    faults += [f"listed in KNOWN-RED.txt but did not run: {name}" for name in sorted(red - passed - failed)]
    if run.returncode != 0 and not failed:
        faults.append(f"the test command ended with {run.returncode} and no failed test")
    if run.returncode not in (0, LIBTEST_FAILURE):
        faults.append(f"the test command ended with {run.returncode}")
    if not results:
        faults.append("no test ran")
    for name in sorted(failed & red):
        print(f"known red: {name}")
    for fault in faults:
        print(fault)
    print(f"{len(passed)} passed, {len(failed - red)} failed")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
