"""Define the frames between two nodes and their encoding."""

import msgspec

from jasmineramp.ids import NodeId, Revision, WorkspaceId
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.calls import Answer, Failure, UpstreamCall
from jasmineramp.mesh.store import StoreItem

PROTOCOL_VERSION = 1
LENGTH_BYTES = 4
# The largest body that callers may send, with its headers.
LARGEST_FRAME_BYTES = 72 * 1024 * 1024


class Frame(msgspec.Struct, array_like=True, gc=False):
    """Base of the frames on a connection between two nodes."""


class Hello(Frame, tag=1):
    """Open a connection."""

    node: NodeId
    version: int


class Run(Frame, tag=2):
    """Ask the node beside an upstream to run a call there."""

    stream: int
    call: UpstreamCall


class Ended(Frame, tag=3):
    """Report how a call ended, and the load of the upstream."""

    stream: int
    end: Answer | Failure
    load: LoadReport


class Cancel(Frame, tag=4):
    """Give up a call whose caller has gone."""

    stream: int


class Ping(Frame, tag=5):
    """Ask for a sign of life."""


class Pong(Frame, tag=6):
    """Give a sign of life."""


class TakeQuota(Frame, tag=7):
    """Ask the owner of a workspace's bucket for a token."""

    stream: int
    workspace: WorkspaceId


class QuotaTaken(Frame, tag=8):
    """Answer with 0 or the wait in ms; None if the node is no owner."""

    stream: int
    wait_ms: float | None


class StateChanged(Frame, tag=9):
    """Tell peers at once what the entry at the store says later."""

    node: NodeId
    instance: str
    state: UpstreamState


class AskNews(Frame, tag=10):
    """Ask the leader of the domain for a newer table and directory."""

    stream: int
    table_revision: Revision
    directory_revision: Revision


class News(Frame, tag=11):
    """Answer with what is newer; the table is empty if it is not.

    The age is the time in ms since the table was known to be the newest.
    Items are changes since the asked revision, or all if it is full.
    """

    stream: int
    table_revision: Revision
    table_age_ms: float
    table: bytes
    directory_revision: Revision
    items: tuple[StoreItem, ...]
    is_full: bool


PeerFrame = (
    Hello
    | Run
    | Ended
    | Cancel
    | Ping
    | Pong
    | TakeQuota
    | QuotaTaken
    | StateChanged
    | AskNews
    | News
)

_encoder = msgspec.msgpack.Encoder()
_decoder: 'msgspec.msgpack.Decoder[PeerFrame]' = msgspec.msgpack.Decoder(
    PeerFrame
)


def encode_frame(frame: PeerFrame) -> bytes:
    """Return the frame with its length in front."""
    body = _encoder.encode(frame)
    return len(body).to_bytes(LENGTH_BYTES, 'big') + body


def decode_frame(body: bytes) -> PeerFrame:
    """Return a frame; raise msgspec.MsgspecError for one of another kind."""
    return _decoder.decode(body)


class FrameBuffer:
    """Cut a stream of bytes into frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames that are complete; raise ValueError on nonsense."""
        buffer = self.buffer
        if not buffer:
            # Most reads hold whole frames, which are cut without a copy.
            frames, start = _cut(data)
            buffer += data[start:]
            return frames
        buffer += data
        frames, start = _cut(buffer)
        del buffer[:start]
        return frames


def _cut(data: bytes | bytearray) -> tuple[list[bytes], int]:
    """Return the complete frames and where the next one starts."""
    frames: list[bytes] = []
    start = 0
    available = len(data)
    while available - start >= LENGTH_BYTES:
        body = start + LENGTH_BYTES
        size = int.from_bytes(data[start:body], 'big')
        if size > LARGEST_FRAME_BYTES:
            raise ValueError(f'a frame of {size} bytes is too large')
        end = body + size
        if available < end:
            break
        frames.append(bytes(data[body:end]))
        start = end
    return frames, start
