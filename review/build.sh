#!/bin/sh
# Check the stand-ins. They are Python programs without dependencies, so
# nothing is compiled or fetched.
set -e
cd "$(dirname "$0")"
for file in lib/harness.py */case.py; do
    PYTHONDONTWRITEBYTECODE=1 python3 - "$file" <<'END'
import sys
compile(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1], 'exec')
END
done
