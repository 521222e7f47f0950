"""Authenticate callers by the digest of their key."""

import hashlib
import hmac

from jasmineramp.ids import KeyDigest, WorkspaceId
from jasmineramp.table import Table


def digest_key(key: str) -> KeyDigest:
    """Return the SHA-256 digest of a key in hex."""
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())


class KeyRing:
    """Map the granted key digests of one table to workspaces."""

    def __init__(self, table: Table | None = None) -> None:
        rows = table.keys if table else ()
        self.workspaces = {row.digest: row.workspace for row in rows}
        self.digests = {row.digest: row.digest for row in rows}

    def find_workspace(self, digest: KeyDigest) -> WorkspaceId | None:
        """Return the workspace of a granted key, or None."""
        stored = self.digests.get(digest)
        # Hash lookups are not constant time; the final comparison is.
        if stored is None or not hmac.compare_digest(stored, digest):
            return None
        return self.workspaces[stored]

    def is_granted(self, digest: KeyDigest) -> bool:
        """Return whether a key is granted."""
        return self.find_workspace(digest) is not None
