#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: one program with the clients, servers, operator and platform of all cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
