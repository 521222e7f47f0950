"""Ask other nodes, and run calls there."""

import asyncio
from collections.abc import Callable

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.load_reports import LoadReport
from jasmineramp.mesh.calls import CallEnd, UpstreamCall, not_run, unknown
from jasmineramp.mesh.peer_links import LinkDownError, LinkLostError, PeerLink
from jasmineramp.mesh.peer_messages import Ended, PeerFrame, Run
from jasmineramp.mesh.waits import within
from jasmineramp.refusals import RefusalCode

# Time for the answer that the upstream gives at its own deadline.
ANSWER_MARGIN_MS = 80


async def ask_peer(
    link: PeerLink, frame_of: Callable[[int], PeerFrame], wait_s: float
) -> PeerFrame | None:
    """Return the reply to a frame, None if it is late or can't come."""
    try:
        stream, future = link.ask(frame_of)
    except LinkDownError:
        return None
    try:
        return await within(wait_s, future)
    except (TimeoutError, LinkLostError):
        link.forget(stream)
        return None


async def run_at_peer(
    link: PeerLink | None, call: UpstreamCall, left_ms: float
) -> tuple[CallEnd, LoadReport | None]:
    """Run a call at the node beside its upstream; return how it ended.

    The time left is in milliseconds.
    """
    if link is None or not await link.ready():
        return not_run(RefusalCode.upstream_lost, 'node unreachable'), None
    try:
        stream, future = link.ask(lambda number: Run(number, call))
    except LinkDownError:
        return not_run(RefusalCode.upstream_lost, 'node unreachable'), None
    wait_s = (left_ms + ANSWER_MARGIN_MS) / MILLIS_PER_SECOND
    try:
        frame = await within(wait_s, future)
    except TimeoutError:
        link.cancel(stream)
        return unknown(RefusalCode.deadline_exceeded, 'no answer'), None
    except LinkLostError:
        return unknown(RefusalCode.upstream_lost, 'node lost'), None
    except asyncio.CancelledError:
        link.cancel(stream)
        raise
    if not isinstance(frame, Ended):
        return unknown(RefusalCode.internal_error, 'wrong frame'), None
    return frame.end, frame.load
