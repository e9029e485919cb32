#!/usr/bin/env bash
# Compiles the stand-ins and scripts of the third review into target/review-3; needs the JDK only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-3
mkdir -p target/review-3
sources=()
for file in review/common3/*.java review/1[1-5]/*.java; do
  if [ -f "$file" ]; then sources+=("$file"); fi
done
javac --release 17 -d target/review-3 "${sources[@]}"
