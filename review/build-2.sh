#!/bin/sh
# Builds the stand-ins that the scripts of review/5 to review/8 start. Run it from anywhere, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-world2 ./review/_world2
