#!/bin/sh
# Builds the stand-ins and test programs of the cases into target/review. Needs the build of the deploy file before.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/tools/Cargo.toml --target-dir target/review
