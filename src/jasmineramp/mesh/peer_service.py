"""Answer what other nodes ask of this one."""

import asyncio

from jasmineramp.mesh.caller_admission import CallerAdmission
from jasmineramp.mesh.calls import (
    Answer,
    CallResult,
    not_run_failure,
    run_unknown_failure,
)
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.evacuation_control import EvacuationControl
from jasmineramp.mesh.instance_gate import InstanceGate
from jasmineramp.mesh.own_upstream import LocalUpstream
from jasmineramp.mesh.peer_messages import (
    Hello,
    QuotaReply,
    QuotaRequest,
    RunReply,
    RunRequest,
    UpdateReply,
    UpdateRequest,
)
from jasmineramp.mesh.peer_sessions import PeerSession
from jasmineramp.mesh.quota_taker import FleetQuotaClient
from jasmineramp.mesh.receive_limits import (
    SMALL_BODY_BYTES,
    ReceiveBudget,
    Reservation,
)
from jasmineramp.mesh.relay import Relay
from jasmineramp.refusals import RefusalCode


class PeerService:
    """Run the calls of peers, grant tokens and pass on changes."""

    def __init__(
        self,
        gate: InstanceGate,
        local_upstream: LocalUpstream,
        admission: CallerAdmission,
        *,
        quotas: FleetQuotaClient,
        relay: Relay,
        evacuations: EvacuationControl,
        budget: ReceiveBudget,
        log: DecisionLog,
    ) -> None:
        self.gate = gate
        self.local_upstream = local_upstream
        self.admission = admission
        self.quotas = quotas
        self.relay = relay
        self.evacuations = evacuations
        self.budget = budget
        self.log = log

    def greet_peer(self, session: PeerSession, frame: Hello) -> None:
        """Exchange what a peer that has just connected may not know yet."""
        if frame.evacuations is not None:
            self.evacuations.learn(frame.evacuations)
        self.local_upstream.greet_peer(session, frame.departed)

    def run_for_peer(
        self,
        session: PeerSession,
        frame: RunRequest,
        memory: Reservation | None = None,
    ) -> None:
        """Run a call at the upstream of this VM, then release its memory."""
        if session.is_congested():
            self._refuse_for_congestion(session, frame.stream)
            if memory is not None:
                memory.release()
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._run_for_peer(session, frame))
        if memory is not None:
            # Also called for a task that is cancelled before it starts.
            task.add_done_callback(lambda _: memory.release())
        session.streams[frame.stream] = task

    def refuse_for_peer(self, session: PeerSession, stream: int) -> None:
        """Refuse a call whose body finds too little memory."""
        self.log.write(
            'body_dropped',
            used_bytes=self.budget.used_bytes,
            total_bytes=self.budget.total_bytes,
        )
        self._reply(
            session,
            stream,
            not_run_failure(
                RefusalCode.overloaded, 'too little memory for the body'
            ),
        )

    def cancel_for_peer(self, session: PeerSession, stream: int) -> None:
        """Cancel a call."""
        task = session.streams.pop(stream, None)
        if isinstance(task, asyncio.Task):
            task.cancel()

    def take_quota_for_peer(self, frame: QuotaRequest) -> QuotaReply:
        """Return the reply to a request for a token."""
        table = self.admission.table
        workspace = table and table.workspaces.get(frame.workspace)
        if not workspace:
            return QuotaReply(frame.stream, None)
        return self.quotas.answer(frame, workspace.row)

    def updates_for_peer(self, frame: UpdateRequest) -> UpdateReply:
        """Return the table and directory changes that a peer lacks."""
        return self.relay.answer(frame)

    async def _run_for_peer(
        self, session: PeerSession, frame: RunRequest
    ) -> None:
        result: CallResult
        try:
            result = await self.gate.run(frame.call)
        except Exception as error:
            self.log.write('fault', work='peer call', error=repr(error))
            result = run_unknown_failure(
                RefusalCode.internal_error, 'internal error in the node'
            )
        session.streams.pop(frame.stream, None)
        if not self._may_send(session, result):
            self.log.write(
                'answer_dropped',
                request=frame.call.request_id,
                unsent_bytes=session.unsent.size,
            )
            result = run_unknown_failure(
                RefusalCode.overloaded, 'too much waits for the link'
            )
        self._reply(session, frame.stream, result)

    def _may_send(self, session: PeerSession, result: CallResult) -> bool:
        """Return whether a result may wait for the link, also for long."""
        size = len(result.body) if isinstance(result, Answer) else 0
        return (
            size <= SMALL_BODY_BYTES
            or self.budget.has_room(size)
            or not session.is_congested()
        )

    def _refuse_for_congestion(self, session: PeerSession, stream: int) -> None:
        """Refuse a call whose answer would wait behind many others."""
        self._reply(
            session,
            stream,
            not_run_failure(
                RefusalCode.upstream_lost, 'too much waits for the link'
            ),
        )

    def _reply(
        self, session: PeerSession, stream: int, result: CallResult
    ) -> None:
        load = self.gate.load()
        session.write(
            RunReply(
                stream,
                result,
                load,
                self.gate.pressure.is_starved(),
                self.gate.has_room(load),
                self.gate.is_evacuated(),
            )
        )
