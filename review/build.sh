#!/bin/sh
# Builds the stand-ins and the checks of the review's scripts: one program without
# dependencies, beside the programs of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2021 -O -o target/review/stage review/stage.rs
