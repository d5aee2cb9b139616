#!/bin/sh
# Builds what the cases start besides the gateway: the stand-ins of this folder and those of the package.
# To be run after the `build` line of deploy/balancer.toml. Everything is Python, so building means compiling.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q brookhub review
