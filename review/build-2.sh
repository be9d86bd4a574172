#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build
# of the deploy file has put the program into target.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -ldflags=-linkmode=external -o target/review-2/ ./review/rig2
