#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without the disruption. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python review/3/case.py
