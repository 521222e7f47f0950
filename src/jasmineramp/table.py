"""Define the operators' table and check it as a whole."""

import math
from collections.abc import Iterable

import msgspec

from jasmineramp.exceptions import TableError
from jasmineramp.ids import (
    BucketId,
    Importance,
    KeyDigest,
    RowName,
    ServiceName,
    WorkspaceId,
)

LEAST_IMPORTANCE = Importance(1)
MOST_IMPORTANCE = Importance(5)
MIN_BURST = 1
ANY_METHOD = '*'
DIGEST_LENGTH = 64


class CallRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one kind of call; rates are in calls a second.

    An open call needs no key. Only an idempotent call is retried when it may
    have run.
    """

    name: RowName
    service: ServiceName
    path: str
    method: str = ANY_METHOD
    importance: int = 3
    weight: float = 1
    rate: float | None = None
    burst: float | None = None
    timeout_ms: float = 2000
    retries: int = 2
    idempotent: bool = True
    open: bool = False


class WorkspaceRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one workspace; rates are in calls a second."""

    name: WorkspaceId
    rate: float
    burst: float
    weight: float = 1
    offline_grace_ms: float | None = None


class KeyRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Grant the key with this SHA-256 digest, in hex, to a workspace."""

    digest: KeyDigest
    workspace: WorkspaceId


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold every row that operators edit."""

    calls: tuple[CallRow, ...] = ()
    workspaces: tuple[WorkspaceRow, ...] = ()
    keys: tuple[KeyRow, ...] = ()
    rate_slots: int = 1

    def workspace(self, name: WorkspaceId) -> WorkspaceRow | None:
        """Return the row of a workspace, or None."""
        for row in self.workspaces:
            if row.name == name:
                return row
        return None

    def call(self, name: RowName) -> CallRow | None:
        """Return the call row with this name, or None."""
        for row in self.calls:
            if row.name == name:
                return row
        return None


def workspace_bucket(workspace: WorkspaceId) -> BucketId:
    """Return the id of the rate bucket of a workspace."""
    return BucketId(f'workspace:{workspace}')


def call_bucket(row: RowName) -> BucketId:
    """Return the id of the rate bucket of a call row."""
    return BucketId(f'call:{row}')


class CallIndex:
    """Find the row of a call by the prefixes of its path.

    The cost depends on the depth of the path, not on the number of rows.
    """

    def __init__(self, rows: Iterable[CallRow] = ()) -> None:
        self.rows_by_path: dict[str, dict[str, CallRow]] = {}
        for row in rows:
            prefix = row.path.rstrip('/')
            self.rows_by_path.setdefault(prefix, {})[row.method] = row

    def find(self, method: str, path: str) -> CallRow | None:
        """Return the row with the longest matching path prefix, or None.

        A row with this method precedes one for any method. A prefix ends at a
        slash or at the end of the path.
        """
        prefix = path.rstrip('/')
        while True:
            rows_by_method = self.rows_by_path.get(prefix)
            if rows_by_method is not None:
                row = rows_by_method.get(method) or rows_by_method.get(
                    ANY_METHOD
                )
                if row is not None:
                    return row
            if not prefix:
                return None
            prefix = prefix.rpartition('/')[0]


def check_table(table: Table) -> None:
    """Raise TableError for the first invalid cell."""
    _check_unique('calls', [row.name for row in table.calls])
    _check_unique('workspaces', [row.name for row in table.workspaces])
    _check_keys_unique(table.keys)
    _check_unique(
        'calls',
        [f'{row.method} {row.path}' for row in table.calls],
        'path',
    )
    for call in table.calls:
        _check_call(call)
    for workspace in table.workspaces:
        _check_workspace(workspace)
    names = {row.name for row in table.workspaces}
    for key in table.keys:
        _check_key(key, names)
    if table.rate_slots < 1:
        raise TableError(
            'table',
            'rate_slots',
            table.rate_slots,
            'is below 1',
            'set it to the number of nodes in the fleet',
        )


def redact_digest(digest: str) -> str:
    """Return a short form of a digest for display.

    A text that is not a digest may be a plain key, so only its length is
    shown.
    """
    if len(digest) == DIGEST_LENGTH and _is_hex(digest):
        return digest[:8]
    return f'<{len(digest)} characters, not a digest>'


def _check_unique(
    section: str,
    names: Iterable[str],
    column: str = 'name',
) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise TableError(
                section,
                column,
                name,
                'appears in two rows',
                'delete or rename one of them',
            )
        seen.add(name)


def _check_keys_unique(rows: Iterable[KeyRow]) -> None:
    seen: set[KeyDigest] = set()
    for row in rows:
        if row.digest in seen:
            raise TableError(
                f'keys/{redact_digest(row.digest)}',
                'digest',
                redact_digest(row.digest),
                'appears in two rows',
                'delete one of them',
            )
        seen.add(row.digest)


def _check_call(row: CallRow) -> None:
    location = f'calls/{row.name}'
    _check_name(location, row.name)
    _check_name(location, row.service, 'service')
    _check_name(location, row.method, 'method')
    if not row.path.startswith('/') or ' ' in row.path:
        raise TableError(
            location,
            'path',
            row.path,
            'does not start with / or contains a space',
            'write the path prefix, for example /orders',
        )
    if not LEAST_IMPORTANCE <= row.importance <= MOST_IMPORTANCE:
        raise TableError(
            location,
            'importance',
            row.importance,
            'is outside 1 to 5',
            'use 1 for the least and 5 for the most important calls',
        )
    _check_positive(location, 'weight', row.weight)
    _check_positive(location, 'timeout_ms', row.timeout_ms)
    if row.retries < 0:
        raise TableError(
            location,
            'retries',
            row.retries,
            'is negative',
            'use 0 for no retries',
        )
    if (row.rate is None) != (row.burst is None):
        raise TableError(
            location,
            'burst',
            row.burst,
            'only one of rate and burst is set',
            'set both or neither',
        )
    if row.rate is not None and row.burst is not None:
        _check_rate(location, row.rate, row.burst)


def _check_workspace(row: WorkspaceRow) -> None:
    location = f'workspaces/{row.name}'
    _check_name(location, row.name)
    _check_rate(location, row.rate, row.burst)
    _check_positive(location, 'weight', row.weight)
    grace = row.offline_grace_ms
    if grace is not None and not (math.isfinite(grace) and grace >= 0):
        raise TableError(
            location,
            'offline_grace_ms',
            grace,
            'is negative or not finite',
            'use 0 to allow no time without contact to the platform, '
            'or leave it empty to keep serving without contact',
        )


def _check_key(row: KeyRow, workspaces: set[WorkspaceId]) -> None:
    location = f'keys/{redact_digest(row.digest)}'
    if len(row.digest) != DIGEST_LENGTH or not _is_hex(row.digest):
        raise TableError(
            location,
            'digest',
            redact_digest(row.digest),
            'is not a SHA-256 digest in hex',
            'grant keys with jasmineramp-table grant',
        )
    if row.workspace not in workspaces:
        raise TableError(
            location,
            'workspace',
            row.workspace,
            'has no row',
            'add the workspace first',
        )


def _check_name(location: str, name: str, column: str = 'name') -> None:
    if not name or any(char.isspace() or char == ',' for char in name):
        raise TableError(
            location,
            column,
            name,
            'is empty or contains a space or comma',
            'use letters, digits, dot, dash and underscore',
        )


def _check_rate(location: str, rate: float, burst: float) -> None:
    if not math.isfinite(rate) or rate < 0:
        raise TableError(
            location,
            'rate',
            rate,
            'is negative or not finite',
            'use calls a second, 0 to refuse all',
        )
    if not math.isfinite(burst) or burst < MIN_BURST:
        raise TableError(
            location,
            'burst',
            burst,
            'is below 1 or not finite',
            'use the number of calls that may arrive at once',
        )


def _check_positive(location: str, column: str, value: float) -> None:
    if not math.isfinite(value) or value <= 0:
        raise TableError(
            location,
            column,
            value,
            'is not a positive finite number',
            'use a positive number',
        )


def _is_hex(text: str) -> bool:
    return all(char in '0123456789abcdef' for char in text)
