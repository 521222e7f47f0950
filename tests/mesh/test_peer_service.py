"""Test what a node answers to peers whose links carry too little."""

import unittest
from unittest import mock

from jasmineramp.load_reports import LoadReport
from jasmineramp.mesh.calls import Answer, Failure
from jasmineramp.mesh.peer_messages import RunReply, RunRequest
from jasmineramp.mesh.peer_service import PeerService
from jasmineramp.mesh.receive_limits import (
    SMALL_BODY_BYTES,
    ReceiveBudget,
    Reservation,
)
from jasmineramp.refusals import RunState

LARGE = Answer(200, b'OK', [], b'x' * (SMALL_BODY_BYTES + 1))
SMALL = Answer(200, b'OK', [], b'x')
TOTAL_BYTES = 4 * SMALL_BODY_BYTES


class Session:
    """Collect the frames of a connection."""

    def __init__(self, *, is_congested: bool) -> None:
        self.congested = is_congested
        self.streams: dict[int, object] = {}
        self.unsent = mock.Mock(size=TOTAL_BYTES)
        self.replies: list[RunReply] = []

    def is_congested(self) -> bool:
        """Return what the test says."""
        return self.congested

    def write(self, frame: RunReply) -> None:
        """Collect a frame."""
        self.replies.append(frame)


class CongestedLinkTest(unittest.IsolatedAsyncioTestCase):
    """Guard against answers that fill the memory behind a narrow link."""

    def setUp(self) -> None:
        self.budget = ReceiveBudget(TOTAL_BYTES)
        self.gate = mock.Mock()
        self.gate.load.return_value = LoadReport()
        self.service = PeerService(
            self.gate,
            mock.Mock(),
            mock.Mock(),
            quotas=mock.Mock(),
            relay=mock.Mock(),
            evacuations=mock.Mock(),
            budget=self.budget,
            log=mock.Mock(),
        )

    async def run_call(
        self, session: Session, answer: Answer, memory: Reservation | None
    ) -> Answer | Failure:
        """Run a call and return the result that the peer gets."""
        self.gate.run = mock.AsyncMock(return_value=answer)
        self.service.run_for_peer(
            session,  # type: ignore[arg-type]
            RunRequest(1, mock.Mock(request_id='id-1')),
            memory,
        )
        task = session.streams.get(1)
        if task is not None:
            await task  # type: ignore[misc]
        return session.replies[-1].result

    async def test_new_calls_are_refused_as_not_run(self) -> None:
        memory = Reservation(self.budget)
        memory.resize(10)
        result = await self.run_call(Session(is_congested=True), SMALL, memory)
        assert isinstance(result, Failure)
        self.assertIs(result.run, RunState.not_run)
        self.gate.run.assert_not_called()
        self.assertEqual(self.budget.used_bytes, 0)

    async def test_answers_that_are_ready_are_sent_while_memory_lasts(
        self,
    ) -> None:
        for used_bytes, answer, is_sent in (
            (0, LARGE, True),
            (TOTAL_BYTES, SMALL, True),
            (TOTAL_BYTES, LARGE, False),
        ):
            session = Session(is_congested=False)
            self.budget.used_bytes = used_bytes

            async def congest(
                _call: object,
                session: Session = session,
                answer: Answer = answer,
            ) -> Answer:
                session.congested = True
                return answer

            with self.subTest(used_bytes=used_bytes, is_sent=is_sent):
                self.gate.run = congest
                self.service.run_for_peer(
                    session,  # type: ignore[arg-type]
                    RunRequest(1, mock.Mock(request_id='id-1')),
                )
                await session.streams[1]  # type: ignore[misc]
                result = session.replies[-1].result
                if is_sent:
                    self.assertIs(result, answer)
                else:
                    assert isinstance(result, Failure)
                    self.assertIs(result.run, RunState.unknown)
