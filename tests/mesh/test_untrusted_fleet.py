"""Test that nodes survive untrusted clients whose calls run at other nodes."""

from tests.fakes import untrusted
from tests.fakes.crowds import CrowdCase
from tests.fakes.instances import StreamInstance
from tests.soak.member import Member

# A narrow link between two nodes.
LINK_BYTES_PER_S = 1_000_000


class StreamCase(CrowdCase):
    """Run instances that stream long answers."""

    slots = 60
    # Bodies close to what a node of this memory accepts.
    limits = CrowdCase.limits | {'maxBodyBytes': 4_000_000}

    def configure(self, configuration: dict[str, object]) -> dict[str, object]:
        """Add a route that gives up early; let the other ones take longer."""
        routes: dict[str, dict[str, object]] = configuration['routes']  # type: ignore[assignment]
        for each in routes.values():
            each['timeout'] = '5s'
        routes['brief'] = routes['buy'] | {
            'prefix': '/brief/',
            'timeout': '400ms',
        }
        return configuration

    def prepare_instance(self, member: Member) -> None:
        """Let the instance of a node stream its answers."""
        member.slots = self.slots
        member.upstream.server = StreamInstance(member.upstream.name)  # type: ignore[assignment]


class UntrustedFleetTest(StreamCase):
    """Guard against memory that one node keeps for another one's callers."""

    node_count = 2
    instances = frozenset((1,))

    async def test_slow_readers_with_many_requests(self) -> None:
        await self.check(12, untrusted.ignore_many_responses)

    async def test_callers_that_leave_long_responses(self) -> None:
        await self.check(40, untrusted.leave_long_responses)

    async def test_long_responses_behind_a_narrow_link(self) -> None:
        self.members[1].to_node.answer_bytes_per_s = LINK_BYTES_PER_S
        await self.check(40, untrusted.read_long_responses)

    async def test_uploads_behind_a_narrow_link(self) -> None:
        self.members[1].to_node.request_bytes_per_s = LINK_BYTES_PER_S
        await self.check(20, untrusted.upload_in_turn)

    async def test_uploads_answered_early(self) -> None:
        self.members[1].upstream.server.answers_early = True  # type: ignore[attr-defined]
        await self.check(20, untrusted.upload_in_turn)


class UntrustedPipelinesTest(StreamCase):
    """Guard against responses that one slow request keeps in memory."""

    node_count = 2
    instances = frozenset((1,))
    slots = 200

    async def test_slow_readers_with_a_running_request(self) -> None:
        await self.check(24, untrusted.ignore_responses_behind_slow_one)


class UntrustedStreamsTest(StreamCase):
    """Guard against memory that a node keeps for its own instance."""

    async def test_uploads_answered_early(self) -> None:
        self.members[0].upstream.server.answers_early = True  # type: ignore[attr-defined]
        await self.check(20, untrusted.upload_in_turn)

    async def test_uploads_answered_early_and_read_slowly(self) -> None:
        member = self.members[0]
        member.upstream.server.answers_early = True  # type: ignore[attr-defined]
        member.to_upstream.request_bytes_per_s = LINK_BYTES_PER_S
        await self.check(20, untrusted.upload_in_turn)

    async def test_long_request_ids(self) -> None:
        await self.check(80, untrusted.send_long_ids)
