#!/bin/sh
# Builds the program that plays the scripts of the third review. It needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-third ./review/_third
