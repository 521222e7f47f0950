"""Define the frames exchanged between two nodes and their encoding."""

from typing import Annotated

import msgspec

from jasmineramp.decoding import Count, DurationMs, ForeignDecoder, Rate
from jasmineramp.ids import NodeId, WorkspaceId
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.calls import Answer, Failure, UpstreamCall
from jasmineramp.mesh.departures import Departed
from jasmineramp.mesh.evacuations import EvacuationView
from jasmineramp.mesh.frame_buffer import LENGTH_PREFIX_BYTES
from jasmineramp.mesh.store import StoreItem
from jasmineramp.mesh.store_revisions import Era, RevisionNumber

PROTOCOL_VERSION = 1
# MessagePack: an array of three, whose first is the tag of RunRequest.
_RUN_REQUEST_HEAD = b'\x93\x02'
# Releases differ in the number of fields of a RunReply.
_RUN_REPLY_HEADS = tuple(bytes((0x90 | length, 3)) for length in range(4, 16))
_MAX_FIXINT = 0x7F
_INTEGER_WIDTHS = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}


class Frame(msgspec.Struct, array_like=True, gc=False):
    """Base of the frames on a connection between two nodes."""


class Hello(Frame, tag=1):
    """Identify the sender and its protocol version on a new connection.

    `departed` are the departures at the receiver that the sender knows of,
    `evacuations` the evacuated failure domains, None if it does not know.
    """

    node: NodeId
    version: int
    departed: tuple[Departed, ...] = ()
    evacuations: EvacuationView | None = None


class RunRequest(Frame, tag=2):
    """Ask the node on the VM of an upstream to run a call there."""

    stream: Count
    call: UpstreamCall


class RunReply(Frame, tag=3):
    """Return the result of a call and the load of the upstream.

    `is_starved` tells that calls which the upstream makes are being refused,
    `has_room` that it has free slots and so have the services that it calls,
    `is_evacuated` that all instances of its failure domain refuse calls.
    """

    stream: Count
    result: Answer | Failure
    load: LoadReport
    is_starved: bool = False
    has_room: bool = False
    is_evacuated: bool = False


class Cancel(Frame, tag=4):
    """Cancel a call that the requesting node no longer waits for."""

    stream: Count


class Ping(Frame, tag=5):
    """Check that the peer is alive."""


class Pong(Frame, tag=6):
    """Answer a ping."""


class BucketOwner(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Name the owner of a token bucket and its entry in the store.

    The revision of the item is the number of the store, with its era apart.
    """

    node: NodeId
    item: StoreItem
    era: Era = 0


class QuotaRequest(Frame, tag=7):
    """Ask the owner of a workspace's token bucket for one token.

    With an owner, tell that it owns the bucket now, and ask for no token.
    """

    stream: Count
    workspace: WorkspaceId
    owner: BucketOwner | None = None


class QuotaReply(Frame, tag=8):
    """Answer with 0 or the wait in ms; None if the node may not grant.

    `owner` is set by a node that has given way to it.
    """

    stream: Count
    wait_ms: DurationMs | None
    owner: BucketOwner | None = None


class StateChanged(Frame, tag=9):
    """Announce an upstream state to peers before its store entry is read.

    An upstream that is cold takes `cold_per_s` calls a second for `cold_ms`
    more.
    """

    node: NodeId
    instance: str
    state: UpstreamState
    cold_per_s: Rate = 0
    cold_ms: DurationMs = 0


class UpdateRequest(Frame, tag=10):
    """Ask the leader of the domain for a newer table and directory.

    Revisions travel as the numbers of the store, with their eras apart.
    """

    stream: Count
    table_revision: RevisionNumber
    directory_revision: RevisionNumber
    table_era: Era = 0
    directory_era: Era = 0


class UpdateReply(Frame, tag=11):
    """Return a newer table and the directory changes.

    The table is empty if the requested revision is current. `table_age_ms`
    is the time since the table was known to be the newest. The items are the
    changes since the requested revision, or all items if `is_full`. Their
    revisions are numbers of `directory_era`. `evacuations` is None if the
    sender does not read them.
    """

    stream: Count
    table_revision: RevisionNumber
    # Infinite if the sender has no table.
    table_age_ms: Annotated[float, msgspec.Meta(ge=0)]
    table: bytes
    directory_revision: RevisionNumber
    items: tuple[StoreItem, ...]
    is_full: bool
    table_era: Era = 0
    directory_era: Era = 0
    evacuations: EvacuationView | None = None


PeerFrame = (
    Hello
    | RunRequest
    | RunReply
    | Cancel
    | Ping
    | Pong
    | QuotaRequest
    | QuotaReply
    | StateChanged
    | UpdateRequest
    | UpdateReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder: ForeignDecoder[PeerFrame] = ForeignDecoder(
    msgspec.msgpack.Decoder(PeerFrame)
)


def encode_frame(frame: PeerFrame) -> bytes:
    """Return the encoded frame with its length prefix."""
    body = _encoder.encode(frame)
    return len(body).to_bytes(LENGTH_PREFIX_BYTES, 'big') + body


def decode_frame(body: bytes) -> PeerFrame:
    """Return a frame; raise msgspec.MsgspecError if it is malformed."""
    return _decoder.decode(body)


def is_run_reply(head: bytes) -> bool:
    """Return whether the start of an encoded frame is that of a RunReply."""
    return head[:2] in _RUN_REPLY_HEADS


def read_call_stream(head: bytes) -> int:
    """Return the stream of a RunRequest from the start of its encoding.

    Raise ValueError for another frame.
    """
    if head[:2] != _RUN_REQUEST_HEAD:
        raise ValueError('frame is not a call')
    return _read_stream(head)


def read_reply_stream(head: bytes) -> int:
    """Return the stream of a RunReply from the start of its encoding.

    Raise ValueError for another frame.
    """
    if not is_run_reply(head):
        raise ValueError('frame is not the reply to a call')
    return _read_stream(head)


def _read_stream(head: bytes) -> int:
    first = head[2]
    if first <= _MAX_FIXINT:
        return first
    width = _INTEGER_WIDTHS.get(first)
    if width is None:
        raise ValueError('stream is not a number')
    return int.from_bytes(head[3 : 3 + width], 'big')
