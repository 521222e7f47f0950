"""Stop a node without interrupting calls."""

import asyncio
from collections.abc import Awaitable, Callable

from jasmineramp.clock import Clock, Millis, later
from jasmineramp.mesh.caller_admission import CallerAdmission
from jasmineramp.mesh.caller_http import CallerServer
from jasmineramp.mesh.instance_gate import InstanceGate

POLL_S = 0.05
# Time for callers to see two failed readiness checks, at one per second.
CALLER_CLOSE_DELAY_MS = 2_400
# Delay before the upstream of a stopping node is withdrawn. Without it, nodes
# that are stopped one after another would remove several upstreams of a
# service at once.
UPSTREAM_WITHDRAWAL_DELAY_MS = 1_600
ADMISSION_CLOSE_DELAY_MS = 3_200
# The rest of the grace period is reserved for the exit of the process.
USABLE_GRACE_FRACTION = 0.86
# Time for the answer to a call that ends at its deadline to be sent.
LAST_ANSWER_MARGIN_MS = 200


class GracefulStop:
    """Withdraw the upstream and wait for open calls in the grace period."""

    def __init__(
        self,
        grace_ms: float,
        caller_server: CallerServer,
        gate: InstanceGate,
        *,
        admission: CallerAdmission,
        withdraw_upstream: Callable[[], Awaitable[None]],
        has_unsent_replies: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self.grace_ms = grace_ms
        self.caller_server = caller_server
        self.gate = gate
        self.admission = admission
        self.withdraw_upstream = withdraw_upstream
        self.has_unsent_replies = has_unsent_replies
        self.clock = clock

    def open_calls(self) -> int:
        """Return the number of calls in progress, here and at the upstream."""
        return self.caller_server.open_requests.count + self.gate.running()

    def is_idle(self) -> bool:
        """Return whether callers and peers have been sent every answer."""
        return not (
            self.open_calls()
            or self.caller_server.connections
            or self.has_unsent_replies()
        )

    async def run(self, started: Millis) -> None:
        """Return when the node is idle or the grace period is nearly over."""
        self.caller_server.drain()
        drain_limit_ms = self.grace_ms * USABLE_GRACE_FRACTION
        latest_end = later(started, drain_limit_ms - LAST_ANSWER_MARGIN_MS)
        while True:
            elapsed_ms = self.clock.now() - started
            if (
                elapsed_ms > UPSTREAM_WITHDRAWAL_DELAY_MS
                and not self.gate.is_node_stopping
            ):
                await self.withdraw_upstream()
            if elapsed_ms > ADMISSION_CLOSE_DELAY_MS:
                self.admission.is_refusing = True
            if elapsed_ms > CALLER_CLOSE_DELAY_MS:
                # Callers have had the time to leave; one that has not must
                # not be cut off.
                self.admission.latest_end = latest_end
                self.caller_server.close_idle()
            if elapsed_ms > drain_limit_ms or (
                self.is_idle() and elapsed_ms > CALLER_CLOSE_DELAY_MS
            ):
                return
            await asyncio.sleep(POLL_S)
