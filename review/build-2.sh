#!/bin/sh
# Builds the stand-ins of the scripted cases of the second review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-rig-2
go build -o target/review-rig-2/ ./review/rig-2
