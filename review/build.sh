#!/usr/bin/env bash
# Builds the stand-ins of the cases: byte code alone, as they need no library beyond the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
