#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The system is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/rig ./review/rig
