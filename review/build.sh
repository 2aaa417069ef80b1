#!/bin/sh
# Builds the stand-ins that the scripts of the review start. The project's programs come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-rig ./review/rig
