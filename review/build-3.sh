#!/bin/bash
# Builds what the scripts of the cases 11 to 15 start besides the program itself.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/rig3 ./review/rig3
