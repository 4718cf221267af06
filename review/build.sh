#!/bin/sh
# The stand-ins of the scripts, review/lib/standin.py, need only the Python that CI uses, without packages,
# and no build: this checks that they load. The program of the deploy file is built by its own command.
set -e
cd "$(dirname "$0")"
python3 -B -c 'import sys; sys.path.insert(0, "lib"); import standin'
