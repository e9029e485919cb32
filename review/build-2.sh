#!/usr/bin/env bash
# Compiles the stand-ins and cases 6 to 10 into target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
sources=(review/stage/*.java)
for number in 6 7 8 9 10; do
  for source in "review/$number"/*.java; do
    if [ -f "$source" ]; then
      sources+=("$source")
    fi
  done
done
javac -encoding UTF-8 -d target/review-2 "${sources[@]}"
