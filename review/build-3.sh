#!/bin/bash
# Builds the stand-ins of the third review; needs only a JDK. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target/classes-3
mkdir -p review/target/classes-3
javac -Xlint:all -Werror -d review/target/classes-3 review/src-3/*.java
