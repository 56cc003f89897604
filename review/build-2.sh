#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: the platform's store, the engines, the
# clients and the proxies. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/standin2
