#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. Needs only a JDK 17; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
rm -rf target/classes-2
javac -Xlint:all -Werror -d target/classes-2 src-2/*.java
