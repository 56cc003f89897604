#!/bin/sh
# Builds the stand-ins of the scripts into target/, beside the program of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-standin ./review/standin
