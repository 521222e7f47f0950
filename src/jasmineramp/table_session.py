"""Read and edit the table on the platform and read its acceptance."""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from jasmineramp.acknowledgements import decode_domains
from jasmineramp.configuration_messages import (
    DOMAINS_KEY,
    TABLE_KEY,
    AcknowledgementRecord,
    acknowledgement_key,
)
from jasmineramp.decoding import ForeignDecoder
from jasmineramp.exceptions import JasminerampError, TableError
from jasmineramp.ids import DomainId, NodeId, Revision
from jasmineramp.store import Store
from jasmineramp.store_messages import (
    CompareAndSwap,
    Get,
    Outcome,
    StoreAnswer,
)
from jasmineramp.table import Table
from jasmineramp.table_edits import merge_tables
from jasmineramp.table_files import decode_table, encode_table

READ_ATTEMPTS = 5
WRITE_ATTEMPTS = 12
INITIAL_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 2.0

_record_decoder = ForeignDecoder(msgspec.json.Decoder(AcknowledgementRecord))


class StoredTable(NamedTuple):
    """Hold a table and its revision on the platform."""

    table: Table
    revision: Revision


class DomainStatus(msgspec.Struct, frozen=True):
    """Report the revision of a failure domain; `behind` lists late nodes."""

    domain: DomainId
    revision: Revision
    alive: int
    behind: tuple[NodeId, ...]
    pending: bool


class TableStatus(msgspec.Struct, frozen=True):
    """Report whether all failure domains have accepted a revision."""

    revision: Revision
    accepted: bool
    domains: tuple[DomainStatus, ...]


class TableSession:
    """Edit the table through a store, retrying failed operations.

    pause is called with a delay in seconds.
    """

    def __init__(
        self,
        store: Store,
        pause: Callable[[float], None] = time.sleep,
        rng: random.Random | None = None,
    ) -> None:
        self.store = store
        self.pause = pause
        self.random = rng or random.Random()

    def read(self) -> StoredTable:
        """Return the table on the platform; empty if there is none."""
        answer = self._get(TABLE_KEY)
        if answer.body is None or not answer.revision:
            return StoredTable(Table(), Revision(0))
        return StoredTable(
            decode_table(answer.body),
            Revision(answer.revision),
        )

    def change(
        self,
        edit: Callable[[Table], Table],
        base: StoredTable | None = None,
    ) -> StoredTable:
        """Apply an edit to the table, merged with concurrent edits.

        Raises ConflictError when another operator changed the same row and
        JasminerampError when the table cannot be read or written.
        """
        start = base or self.read()
        current = start
        edited = edit(start.table)
        for attempt in range(WRITE_ATTEMPTS):
            merged = merge_tables(start.table, edited, current.table)
            if encode_table(merged) == encode_table(current.table) and (
                current.revision
            ):
                # Either the edit changes nothing, or an earlier write of it
                # took effect although its answer was lost.
                return current
            write = CompareAndSwap(
                TABLE_KEY,
                current.revision,
                encode_table(merged),
            )
            answer = self.store.run(write)
            if answer.outcome is Outcome.done:
                return StoredTable(merged, Revision(answer.revision))
            self._sleep_before_retry(attempt)
            # A write with an unknown outcome can still take effect. The
            # next write expects the revision read here, so that only one of
            # the two can succeed.
            current = self.read()
        raise JasminerampError(
            f'the edit was not written in {WRITE_ATTEMPTS} attempts',
            'run jasmineramp-table show to see the table and repeat the edit',
        )

    def status(self, revision: Revision | None = None) -> TableStatus:
        """Return the acceptance of a revision, by default the latest."""
        if revision is None:
            revision = Revision(self._get(TABLE_KEY).revision)
        domains = decode_domains(self._get(DOMAINS_KEY).body or b'[]')
        statuses = tuple(
            self._domain_status(domain, revision) for domain in domains
        )
        accepted = bool(statuses) and not any(
            status.pending for status in statuses
        )
        return TableStatus(revision, accepted, statuses)

    def _domain_status(
        self,
        domain: DomainId,
        revision: Revision,
    ) -> DomainStatus:
        body = self._get(acknowledgement_key(domain)).body
        if body is None:
            return DomainStatus(domain, Revision(0), 0, (), pending=True)
        try:
            record = _record_decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise TableError(
                acknowledgement_key(domain),
                '-',
                f'{len(body)} bytes',
                f'is not a record of this release: {error}',
                'run the same release on all nodes',
            ) from None
        return DomainStatus(
            domain,
            record.revision,
            record.alive,
            record.behind,
            pending=record.revision < revision,
        )

    def _get(self, key: str) -> StoreAnswer:
        for attempt in range(READ_ATTEMPTS):
            answer = self.store.run(Get(key))
            if answer.outcome is Outcome.done:
                return answer
            self._sleep_before_retry(attempt)
        raise JasminerampError(
            f'cannot read {key} from the platform: {answer.detail}',
            'check the platform and its address, then repeat the command',
        )

    def _sleep_before_retry(self, attempt: int) -> None:
        max_delay_seconds = min(
            MAX_RETRY_DELAY_SECONDS, INITIAL_RETRY_DELAY_SECONDS * 2**attempt
        )
        self.pause(self.random.uniform(0, max_delay_seconds))
