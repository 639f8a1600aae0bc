#!/bin/sh
# Builds the stand-ins of the scripts. The program itself is built by the build line of
# deploy/system.toml before.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin ./review/_standin
