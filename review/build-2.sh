#!/bin/sh
# Builds the stand-ins of the second review into target/review2. They have no dependencies.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/tools2/Cargo.toml --target-dir target/review2
