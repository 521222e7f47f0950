"""Test that freed blocks go back to the system."""

import pathlib
import subprocess
import sys
import unittest

from jasmineramp.mesh import process_memory

SOURCES = pathlib.Path(process_memory.__file__).parents[2]
# Frees every other of many blocks below the mark to which the C library would
# move its threshold, and prints what stays resident in MiB.
SCRIPT = """
from jasmineramp.mesh.process_memory import return_large_blocks
{call}
del_first = bytes(20_000_000)
del del_first
blocks = [bytearray(b'x') * 1_000_000 for _ in range(100)]
kept = [bytearray(b'x') * 1_000 for _ in range(100)]
blocks = blocks[::10]
for line in open('/proc/self/status'):
    if line.startswith('VmRSS'):
        print(int(line.split()[1]) // 1024)
"""
KEPT_MIB = 10


def resident_mib(call: str) -> int:
    """Return the resident memory of a process that keeps a tenth."""
    finished = subprocess.run(
        [sys.executable, '-c', SCRIPT.format(call=call)],
        env={'PYTHONPATH': str(SOURCES)},
        capture_output=True,
        check=True,
        text=True,
    )
    return int(finished.stdout)


class LargeBlocksTest(unittest.TestCase):
    """Guard against freed blocks that stay between others."""

    def test_freed_blocks_are_returned(self) -> None:
        kept_mib = resident_mib('return_large_blocks()')
        self.assertLess(kept_mib, resident_mib('') - 5 * KEPT_MIB)
