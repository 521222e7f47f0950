#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and above; they need Python
# 3.11 and its standard library only. The nodes are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib
import sys

assert sys.version_info >= (3, 11), 'Python 3.11 or later is needed'
sources = [
    *pathlib.Path('review/standins').glob('*.py'),
    *pathlib.Path('review').glob('[0-9]*/case.py'),
]
for source in sources:
    compile(source.read_text(encoding='utf-8'), str(source), 'exec')
print(f'{len(sources)} files of the stand-ins and cases compile')
PYTHON
