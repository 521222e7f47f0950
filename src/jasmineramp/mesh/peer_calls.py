"""Send requests to other nodes and run calls there."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.load_reports import LoadReport
from jasmineramp.mesh.calls import (
    MAX_STATUS,
    Answer,
    CallResult,
    UpstreamCall,
    not_run_failure,
    run_unknown_failure,
)
from jasmineramp.mesh.peer_links import (
    LinkDownError,
    NoReplyError,
    PeerLink,
)
from jasmineramp.mesh.peer_messages import PeerFrame, RunReply, RunRequest
from jasmineramp.mesh.waits import wait_with_timeout
from jasmineramp.refusals import RefusalCode

# Time for an answer that the upstream sends at its deadline to arrive.
ANSWER_MARGIN_MS = 80


async def ask_peer(
    link: PeerLink, make_frame: Callable[[int], PeerFrame], timeout_s: float
) -> PeerFrame | None:
    """Return the reply to a frame, None on a timeout or a lost link."""
    try:
        stream, future = link.send_request(make_frame)
    except LinkDownError:
        return None
    try:
        return await wait_with_timeout(timeout_s, future)
    except (TimeoutError, NoReplyError):
        link.discard_reply(stream)
        return None
    finally:
        # See `wait_with_timeout`.
        del future


class SendOutcome(NamedTuple):
    """Hold the result of a call and, if its node answered, the load there.

    `is_starved` tells that calls which the upstream makes are being refused,
    `has_room` that it has free slots and so have the services that it calls.
    """

    result: CallResult
    load: LoadReport | None = None
    is_starved: bool = False
    has_room: bool = False
    is_evacuated: bool = False


async def run_at_peer(
    link: PeerLink | None, call: UpstreamCall, remaining_ms: float
) -> SendOutcome:
    """Run a call at the node on the VM of its upstream."""
    if link is None or not await link.wait_until_up():
        return SendOutcome(
            not_run_failure(RefusalCode.upstream_lost, 'node unreachable')
        )
    if link.is_congested():
        return SendOutcome(
            not_run_failure(RefusalCode.upstream_lost, 'link is congested')
        )
    try:
        stream, future = link.send_request(
            lambda number: RunRequest(number, call)
        )
    except LinkDownError:
        return SendOutcome(
            not_run_failure(RefusalCode.upstream_lost, 'node unreachable')
        )
    timeout_s = (remaining_ms + ANSWER_MARGIN_MS) / MILLIS_PER_SECOND
    try:
        frame = await wait_with_timeout(timeout_s, future)
    except TimeoutError:
        link.cancel(stream)
        return SendOutcome(
            run_unknown_failure(
                RefusalCode.deadline_exceeded, 'peer did not answer in time'
            )
        )
    except NoReplyError as error:
        return SendOutcome(run_unknown_failure(error.code, error.detail))
    except asyncio.CancelledError:
        link.cancel(stream)
        raise
    finally:
        # See `wait_with_timeout`.
        del future
    if not isinstance(frame, RunReply):
        return SendOutcome(
            run_unknown_failure(
                RefusalCode.internal_error, 'unexpected reply frame'
            )
        )
    result = frame.result
    if isinstance(result, Answer) and result.status > MAX_STATUS:
        result = run_unknown_failure(
            RefusalCode.upstream_lost, f'invalid status {result.status}'
        )
    return SendOutcome(
        result,
        frame.load,
        frame.is_starved,
        frame.has_room,
        frame.is_evacuated,
    )
