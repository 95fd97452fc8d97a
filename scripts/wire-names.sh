#!/usr/bin/env bash
# Fails when a name of the platform's wire (platform/wire-names.txt) stands in
# a source file outside platform/ and deploy/.
set -euo pipefail
cd "$(dirname "$0")/.."
found=$(git ls-files '*.rs' | grep -v '^platform/' | xargs grep -nF -f platform/wire-names.txt || true)
if [ -n "$found" ]; then
    echo "the platform's names outside platform/:"
    echo "$found"
    exit 1
fi
