#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig-2 ./review/rig-2
