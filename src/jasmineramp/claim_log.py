"""Encode the claim log and derive the digests of claims."""

import hashlib
import struct
from collections.abc import Iterator

import msgspec

from jasmineramp.claim_messages import ClaimResult
from jasmineramp.decoding import ForeignDecoder
from jasmineramp.ids import IdempotencyKey, NodeId, PartitionId, WorkspaceId

_KEY_BYTES = 8
_BODY_BYTES = 4

# Digests of key and body, token and milliseconds until the deadline.
CLAIM_LAYOUT = struct.Struct('>QIQI')
# Token, HTTP status and code of the result.
OUTCOME_LAYOUT = struct.Struct('>QHB')
# Digests of key and body, HTTP status; status 0 is an unknown outcome.
ENDED_LAYOUT = struct.Struct('>QIH')

MAX_DEADLINE_MS = 2**32 - 1
RESULT_CODES = {
    ClaimResult.done: 0,
    ClaimResult.unknown: 1,
    ClaimResult.not_run: 2,
}
RESULTS_BY_CODE = {code: result for result, code in RESULT_CODES.items()}


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """Hold the open claims and those ended since the last summary."""

    ended: bytes
    open: bytes


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """Hold one batch; its outcomes are applied before its claims.

    The author identifies one term of an owner, so the owner recognises its
    record when it reads back a write.
    """

    author: str
    outcomes: bytes = b''
    claims: bytes = b''
    summary: Summary | None = None


class Head(msgspec.Struct, frozen=True, array_like=True):
    """Describe where to read the log of a partition.

    Generations are the sequence numbers of summaries and their ages in
    milliseconds; records from sequence number start on are not summarised yet.
    """

    author: str
    partitions: int
    start: int
    generations: tuple[tuple[int, float], ...] = ()


class OwnerEntry(msgspec.Struct, frozen=True, array_like=True):
    """Name the owner of a partition and its term."""

    node: NodeId
    author: str


encode = msgspec.msgpack.Encoder().encode
decode_record = ForeignDecoder(msgspec.msgpack.Decoder(LogRecord)).decode
decode_head = ForeignDecoder(msgspec.msgpack.Decoder(Head)).decode
decode_owner = ForeignDecoder(msgspec.msgpack.Decoder(OwnerEntry)).decode


def owner_key(partition: PartitionId) -> str:
    """Return the store key of the owner entry of a partition."""
    return f'claims/owner/{partition}'


def head_key(partition: PartitionId) -> str:
    """Return the store key of the head of a partition's log."""
    return f'claims/head/{partition}'


def log_key(partition: PartitionId, sequence: int) -> str:
    """Return the store key of a log record."""
    return f'claims/log/{partition}/{sequence}'


def locate_claim(
    workspace: WorkspaceId, key: IdempotencyKey, partitions: int
) -> tuple[PartitionId, int]:
    """Return the partition and the key digest of a claim.

    Two keys with the same 64-bit digest share a claim, so the second call is
    refused instead of running; no call runs twice.
    """
    text = f'{len(workspace)}:{workspace}:{key}'
    digest = hashlib.blake2b(text.encode(), digest_size=2 * _KEY_BYTES).digest()
    number = int.from_bytes(digest[_KEY_BYTES:], 'big')
    return (
        PartitionId(number % partitions),
        int.from_bytes(digest[:_KEY_BYTES], 'big'),
    )


def digest_body(body: bytes) -> int:
    """Return a 32-bit digest to compare the bodies of calls with one key."""
    digest = hashlib.blake2b(body, digest_size=_BODY_BYTES).digest()
    return int.from_bytes(digest, 'big')


def make_token(author: str, count: int) -> int:
    """Return the token of an attempt; the author names a unique process."""
    text = f'{author}#{count}'
    digest = hashlib.blake2b(text.encode(), digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, 'big')


def unpack_outcomes(packed: bytes) -> Iterator[tuple[int, int, ClaimResult]]:
    """Yield token, status and result of each outcome."""
    for token, status, code in OUTCOME_LAYOUT.iter_unpack(packed):
        yield token, status, RESULTS_BY_CODE[code]
