#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases. The system itself is built as
# deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/rig3
