#!/bin/sh
# Builds the stand-ins of the review's cases into target/review.
cd "$(dirname "$0")/stand-ins" || exit 2
exec cargo build --release --offline --target-dir ../../target/review
