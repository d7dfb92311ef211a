#!/bin/sh
# Builds what the cases 6 to 10 start beside the program: review/rig.py and each case.py, which need nothing but
# the Python of the deploy file's build. Needs no network.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/rig.py review/6/case.py review/7/case.py review/8/case.py \
    review/9/case.py review/10/case.py
