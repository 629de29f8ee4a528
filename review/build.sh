#!/bin/sh
# Builds the stand-ins and the drivers of the cases. The programs of the project are
# built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/...
