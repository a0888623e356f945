#!/usr/bin/env bash
# Builds the stand-ins and the player of the cases 6 to 10 into target/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/probe ./review/probe
