"""Make the process return the memory of freed blocks to the system."""

import ctypes

from jasmineramp.mesh.receive_limits import KIBIBYTE

# Above what one read from a socket returns, so that ordinary messages do not
# pay for it.
LARGE_BLOCK_BYTES = 512 * KIBIBYTE
# Of mallopt(3).
_M_MMAP_THRESHOLD = -3


def return_large_blocks() -> bool:
    """Return large blocks to the system once freed; False if not supported.

    By default, the C library moves its threshold up to the largest block that
    was freed. Blocks below it are kept, between others that are in use.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    return mallopt is not None and bool(
        mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    )
