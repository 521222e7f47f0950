"""Collect which table revisions are in force in one failure domain."""

from collections.abc import Iterable, Sequence

import msgspec

from jasmineramp.clock import Millis, later
from jasmineramp.configuration_messages import (
    DOMAINS_KEY,
    AcknowledgementRecord,
    DomainAcknowledgement,
    acknowledgement_key,
)
from jasmineramp.decoding import ForeignDecoder
from jasmineramp.effects import Effect
from jasmineramp.ids import DomainId, NodeId, Revision
from jasmineramp.store_messages import (
    CompareAndSwap,
    Get,
    Outcome,
    Role,
    StoreAnswered,
    StoreRequest,
)

# Limits the writes of a failure domain to one per second and key.
WRITE_INTERVAL_MS = 1000
# A record that lists members behind shows which of them hang. The delay saves
# a write per edit while the members catch up.
PARTIAL_DELAY_MS = 2000
# Rereads the key: a collector that was paused may have overwritten a newer
# record.
REFRESH_INTERVAL_MS = 30_000
# Every request gets an answer; the timeout covers a lost one.
ANSWER_TIMEOUT_MS = 10_000
MAX_LISTED_NODES = 16
_START = Millis(0)
_NO_REVISION = Revision(0)

_domains_decoder = ForeignDecoder(msgspec.json.Decoder(tuple[DomainId, ...]))


class KeyWriter:
    """Keep one platform key equal to a target value with few writes."""

    def __init__(self, key: str) -> None:
        self.key = key
        self.stored: bytes | None = None
        self.revision: int | None = None
        self.next_request_at = _START
        self.next_write_at = _START
        self.next_refresh_at = _START

    def tick(self, target_value: bytes, now: Millis) -> list[Effect]:
        """Return the store request that is due, if any."""
        if now < self.next_request_at:
            return []
        if self.revision is None or now >= self.next_refresh_at:
            return self._request(Get(self.key), now)
        if target_value == self.stored or now < self.next_write_at:
            return []
        self.next_write_at = later(now, WRITE_INTERVAL_MS)
        swap = CompareAndSwap(self.key, self.revision, target_value)
        return self._request(swap, now)

    def answered(self, event: StoreAnswered, now: Millis) -> None:
        """Handle the answer to a request.

        Any outcome other than success leads to a read.
        """
        self.next_request_at = _START
        answer = event.answer
        done = answer.outcome is Outcome.done
        if isinstance(event.operation, CompareAndSwap):
            self.revision = answer.revision if done else None
            self.stored = event.operation.body if done else None
        elif done:
            self.revision = answer.revision
            self.stored = answer.body if answer.revision else None
            self.next_refresh_at = later(now, REFRESH_INTERVAL_MS)
        if answer.outcome in {Outcome.not_done, Outcome.unknown}:
            self.next_request_at = later(now, WRITE_INTERVAL_MS)

    def _request(
        self, operation: Get | CompareAndSwap, now: Millis
    ) -> list[Effect]:
        self.next_request_at = later(now, ANSWER_TIMEOUT_MS)
        return [StoreRequest(Role.acknowledgement, self.key, operation)]


class AcknowledgementState:
    """Hold the acknowledgements that a collector received.

    It stays empty on other members.
    """

    def __init__(self, domain: DomainId, domains: Iterable[DomainId]) -> None:
        self.domain = domain
        self.known_domains = {domain, *domains}
        self.members: dict[NodeId, tuple[Revision, ...]] = {}
        self.by_domain: dict[DomainId, DomainAcknowledgement] = {}
        self.record_writer = KeyWriter(acknowledgement_key(domain))
        self.domains_writer = KeyWriter(DOMAINS_KEY)
        self.partial_since: Millis | None = None
        self.changed = True
        self.summarized_members: tuple[NodeId, ...] = ()


def record_acknowledgement(
    state: AcknowledgementState,
    node: NodeId,
    revisions: tuple[Revision, ...],
) -> None:
    """Record the revisions that a member had in force, newest last."""
    if state.members.get(node) != revisions:
        state.members[node] = revisions
        state.changed = True


def record_domain_report(
    state: AcknowledgementState,
    acknowledgement: DomainAcknowledgement,
) -> None:
    """Record the report of another failure domain, replacing the previous."""
    state.changed = True
    state.known_domains.update(acknowledgement.domains)
    state.by_domain[acknowledgement.domain] = acknowledgement


def summarize(
    state: AcknowledgementState,
    alive: tuple[NodeId, ...],
    domains: Iterable[DomainId],
) -> DomainAcknowledgement:
    """Return and store what all alive members had in force."""
    state.known_domains.update(domains)
    previous = state.by_domain.get(state.domain)
    if previous and not state.changed and state.summarized_members == alive:
        return previous
    state.changed = False
    state.summarized_members = alive
    for node in state.members.keys() - set(alive):
        state.members.pop(node)
    acknowledged = [state.members.get(node, ()) for node in alive]
    common = set(acknowledged[0]).intersection(*acknowledged[1:])
    lowest = min(
        revisions[-1] if revisions else _NO_REVISION
        for revisions in acknowledged
    )
    summary = DomainAcknowledgement(
        state.domain,
        lowest,
        tuple(sorted(common)),
        tuple(sorted(state.known_domains)),
    )
    state.by_domain[state.domain] = summary
    return summary


def accepted_revision(state: AcknowledgementState) -> Revision:
    """Return the newest revision that every failure domain reports."""
    reports = [state.by_domain.get(domain) for domain in state.known_domains]
    common: set[Revision] | None = None
    for report in reports:
        if report is None:
            return _NO_REVISION
        revisions = set(report.revisions)
        common = revisions if common is None else common & revisions
    return max(common or (), default=_NO_REVISION)


def write_records(
    state: AcknowledgementState,
    collector: NodeId,
    alive: Sequence[NodeId],
    newest: Revision,
    now: Millis,
) -> list[Effect]:
    """Return the platform writes that report this failure domain."""
    behind: list[NodeId] = []
    if state.by_domain[state.domain].revision < newest:
        behind = [
            node
            for node in alive
            if (state.members.get(node) or (_NO_REVISION,))[-1] < newest
        ]
    effects = _write_domains(state, now)
    if not behind:
        state.partial_since = None
    elif state.partial_since is None:
        state.partial_since = now
    if state.partial_since is not None and now < later(
        state.partial_since,
        PARTIAL_DELAY_MS,
    ):
        return effects
    record = AcknowledgementRecord(
        state.domain,
        state.by_domain[state.domain].revision,
        newest,
        collector,
        len(alive),
        tuple(behind[:MAX_LISTED_NODES]),
    )
    body = msgspec.json.encode(record)
    return effects + state.record_writer.tick(body, now)


def handle_store_answer(
    state: AcknowledgementState,
    event: StoreAnswered,
    now: Millis,
) -> None:
    """Handle the answer to a request of write_records."""
    if event.tag == DOMAINS_KEY:
        state.domains_writer.answered(event, now)
        stored = state.domains_writer.stored
        if stored is not None:
            state.changed = True
            state.known_domains.update(decode_domains(stored))
    elif event.tag == state.record_writer.key:
        state.record_writer.answered(event, now)


def decode_domains(body: bytes) -> tuple[DomainId, ...]:
    """Return the failure domains in a platform value, or () if damaged."""
    try:
        return _domains_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ()


def _write_domains(state: AcknowledgementState, now: Millis) -> list[Effect]:
    body = msgspec.json.encode(sorted(state.known_domains))
    return state.domains_writer.tick(body, now)
