#!/bin/sh
# Builds the stand-ins of the cases in review/4 and behind it, without a network. Run after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
