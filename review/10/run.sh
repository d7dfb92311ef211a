#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && [ -x .venv/bin/python ] || exit 2
exec .venv/bin/python review/10/case.py
