#!/bin/bash
# Builds the stand-ins that the scripts start. Needs only a JDK 17; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -Xlint:all -Werror -d classes src/*.java
