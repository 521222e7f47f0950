"""Claim non-idempotent calls so that each runs at most once."""

import itertools
import random
from collections.abc import Iterable, Mapping

import msgspec

from jasmineramp.claim_log import locate_claim, make_token
from jasmineramp.claim_messages import (
    ClaimAnswer,
    ClaimDecided,
    ClaimEnd,
    ClaimOutcome,
    ClaimRequest,
    ClaimVerdict,
    OutcomeAnswer,
)
from jasmineramp.claim_owner import ClaimOwner
from jasmineramp.claim_requests import PendingClaim, Reports
from jasmineramp.claim_settings import ClaimSettings
from jasmineramp.claim_table import RESPONSE_LIMIT_BYTES
from jasmineramp.clock import Millis, later
from jasmineramp.effects import Effect, SendMessage
from jasmineramp.ids import (
    CallId,
    DomainId,
    IdempotencyKey,
    NodeId,
    PartitionId,
    WorkspaceId,
)
from jasmineramp.messages import Message
from jasmineramp.store_messages import StoreAnswered

ANSWER_WAIT_MS = 1000.0
RESEND_MS = 250.0
# Callers are refused at once for this long after an owner gave no answer.
UNAVAILABLE_MS = 500.0
REDIRECTS = 3
CANDIDATES = 2


class ClaimCall(msgspec.Struct, frozen=True):
    """Describe a call that needs a claim; body is `digest_body(...)`."""

    call_id: CallId
    workspace: WorkspaceId
    key: IdempotencyKey
    body: int
    deadline_ms: float


class ClaimState:
    """Hold the claims that a node asks for and the partitions it owns."""

    def __init__(self, settings: ClaimSettings, seed: int) -> None:
        self.settings = settings
        self.author = f'{settings.node}/{settings.incarnation}'
        source = random.Random(seed)
        self.owners = {
            PartitionId(index): ClaimOwner(PartitionId(index), settings, source)
            for index in range(len(settings.domains))
        }
        self.active: set[PartitionId] = set()
        self.candidates: dict[PartitionId, list[NodeId]] = {}
        self.displaced: set[PartitionId] = set()
        self.known: dict[PartitionId, NodeId] = {}
        self.unavailable: dict[PartitionId, Millis] = {}
        self.pending: dict[int, PendingClaim] = {}
        self.running: dict[CallId, tuple[PartitionId, int]] = {}
        self.reports = Reports()
        self.attempts = 0
        self.stopping = False


def claim(state: ClaimState, call: ClaimCall, now: Millis) -> list[Effect]:
    """Ask for a claim; a ClaimDecided effect follows, now or later."""
    partitions = len(state.settings.domains)
    partition, key = locate_claim(call.workspace, call.key, partitions)
    if state.unavailable.get(partition, now) > now:
        return [ClaimDecided(call.call_id, ClaimVerdict.unavailable)]
    state.attempts += 1
    token = make_token(state.author, state.attempts)
    wait = min(call.deadline_ms, ANSWER_WAIT_MS)
    request = ClaimRequest(
        partition, partitions, key, call.body, token, call.deadline_ms
    )
    pending = PendingClaim(call.call_id, request, later(now, wait), now)
    state.pending[token] = pending
    return _local(state, _ask(state, pending, now), now)


def finish(
    state: ClaimState,
    call_id: CallId,
    end: ClaimEnd,
    now: Millis,
    *,
    status: int = 0,
    response: bytes | None = None,
) -> list[Effect]:
    """Report how a claimed call ended; not_run must be proved."""
    place = state.running.pop(call_id, None)
    if place is None:
        return []
    if response is not None and len(response) > RESPONSE_LIMIT_BYTES:
        response = None
    outcome = ClaimOutcome(place[0], place[1], end, status, response)
    return _report(state, outcome, now)


def withdraw(state: ClaimState, call_id: CallId, now: Millis) -> list[Effect]:
    """Give up the undecided claim of a cancelled call."""
    for token, pending in state.pending.items():
        if pending.call_id == call_id:
            state.pending.pop(token)
            return _release(state, pending, now)
    return []


def receive(
    state: ClaimState, sender: NodeId, message: Message, now: Millis
) -> list[Effect]:
    """Handle a claim message from a node; other messages change nothing."""
    match message:
        case ClaimRequest():
            effects = _on_request(state, sender, message, now)
        case ClaimAnswer():
            effects = _on_answer(state, sender, message, now)
        case ClaimOutcome():
            effects = _on_outcome(state, sender, message, now)
        case OutcomeAnswer():
            effects = _on_outcome_answer(state, message, now)
        case _:
            return []
    return _local(state, effects, now)


def answered(
    state: ClaimState, event: StoreAnswered, now: Millis
) -> list[Effect]:
    """Handle the answer to a store request of role claim."""
    partition = PartitionId(int(event.tag.split('/')[1]))
    owner = state.owners[partition]
    return _local(state, owner.answered(event, now), now)


def tick(state: ClaimState, now: Millis) -> list[Effect]:
    """Let time pass: repeat, give up, renew leases and write batches."""
    effects: list[Effect] = []
    for token, pending in list(state.pending.items()):
        if now >= pending.give_up:
            state.pending.pop(token)
            effects += _give_up(state, pending, now)
        elif now >= pending.resend_at:
            effects += _ask(state, pending, now)
    effects += _send_reports(state, now)
    for partition, owner in state.owners.items():
        if partition in state.active or owner.lease_until is not None:
            owner.note_displaced(partition in state.displaced, now)
            effects += owner.tick(now)
    return _local(state, effects, now)


def set_members(
    state: ClaimState, members: Mapping[NodeId, DomainId], now: Millis
) -> list[Effect]:
    """Choose the candidates for each partition among the alive nodes."""
    lowest: dict[DomainId, NodeId] = {}
    for node, domain in members.items():
        if domain not in lowest or node < lowest[domain]:
            lowest[domain] = node
    domains = state.settings.domains
    state.active.clear()
    state.displaced.clear()
    for partition, owner in state.owners.items():
        ranked = [
            domain
            for domain in domains[partition:] + domains[:partition]
            if domain in lowest
        ]
        nodes = [lowest[domain] for domain in ranked[:CANDIDATES]]
        state.candidates[partition] = nodes
        rank = None
        if state.settings.node in nodes and not state.stopping:
            rank = nodes.index(state.settings.node)
            state.active.add(partition)
        owner.set_rank(rank)
        if ranked and ranked[0] != state.settings.domain:
            state.displaced.add(partition)
    return []


def stop(state: ClaimState, now: Millis) -> list[Effect]:
    """Hand over the partitions; done once `is_settled` is true."""
    state.stopping = True
    state.active.clear()
    resigned = [owner.resign(now) for owner in state.owners.values()]
    return _local(state, itertools.chain.from_iterable(resigned), now)


def is_settled(state: ClaimState) -> bool:
    """Tell whether the node may exit without leaving an unknown outcome."""
    owned = (owner.lease_until is not None for owner in state.owners.values())
    waiting = state.pending or state.running
    return not (waiting or state.reports.count_unconfirmed() or any(owned))


def _on_request(
    state: ClaimState, sender: NodeId, request: ClaimRequest, now: Millis
) -> list[Effect]:
    owner = state.owners.get(request.partition)
    if owner is None or not owner.accepting:
        hint = owner.hint if owner else NodeId('')
        reply = ClaimAnswer(
            request.partition,
            request.token,
            ClaimVerdict.not_owner,
            owner=hint,
        )
        return [SendMessage(sender, reply)]
    answer = owner.ledger.offer(request, sender, now, owner.writable)
    if answer is not None:
        return [SendMessage(sender, answer)]
    return owner.flush(now)


def _on_answer(
    state: ClaimState, sender: NodeId, answer: ClaimAnswer, now: Millis
) -> list[Effect]:
    pending = state.pending.get(answer.token)
    granted = answer.verdict is ClaimVerdict.granted
    if pending is None:
        if granted:
            state.reports.reopen(answer.token, now)
            return _send_reports(state, now)
        return []
    if answer.verdict is ClaimVerdict.not_owner:
        return _redirect(state, sender, pending, answer.owner, now)
    state.pending.pop(answer.token)
    if now >= pending.give_up:
        return _give_up(state, pending, now)
    state.known[answer.partition] = sender
    decided = ClaimDecided(
        pending.call_id, answer.verdict, answer.status, answer.response
    )
    if granted:
        state.running[pending.call_id] = (answer.partition, answer.token)
    elif answer.verdict is ClaimVerdict.unavailable:
        state.unavailable[answer.partition] = later(now, UNAVAILABLE_MS)
        return [decided, *_release(state, pending, now)]
    return [decided]


def _redirect(
    state: ClaimState,
    sender: NodeId,
    pending: PendingClaim,
    hint: NodeId,
    now: Millis,
) -> list[Effect]:
    partition = pending.request.partition
    if hint and hint != sender and pending.redirects < REDIRECTS:
        pending.redirects += 1
        state.known[partition] = hint
        return _ask(state, pending, now)
    if state.known.get(partition) == sender:
        state.known.pop(partition)
    return []


def _on_outcome(
    state: ClaimState, sender: NodeId, outcome: ClaimOutcome, now: Millis
) -> list[Effect]:
    owner = state.owners.get(outcome.partition)
    if owner is None or not owner.ready:
        hint = owner.hint if owner else NodeId('')
        refused = OutcomeAnswer(
            outcome.partition, outcome.token, accepted=False, owner=hint
        )
        return [SendMessage(sender, refused)]
    answer = owner.ledger.report(outcome, sender)
    if answer is not None:
        return [SendMessage(sender, answer)]
    return owner.flush(now)


def _on_outcome_answer(
    state: ClaimState, answer: OutcomeAnswer, now: Millis
) -> list[Effect]:
    if answer.accepted:
        state.reports.confirm(answer.token, now)
        return []
    known = state.known.get(answer.partition)
    if answer.owner and answer.owner != known:
        state.known[answer.partition] = answer.owner
        state.reports.hasten(answer.token, now)
        return _send_reports(state, now)
    return []


def _ask(state: ClaimState, pending: PendingClaim, now: Millis) -> list[Effect]:
    partition = pending.request.partition
    pending.resend_at = later(now, RESEND_MS)
    target = _find_owner(state, partition)
    if not target:
        return []
    if pending.sent and pending.redirects == 0:
        # No answer came, so the next repeat goes to a candidate.
        state.known.pop(partition, None)
    pending.sent = True
    return [SendMessage(target, pending.request)]


def _find_owner(state: ClaimState, partition: PartitionId) -> NodeId | None:
    owner = state.owners[partition]
    if owner.accepting:
        return state.settings.node
    known = state.known.get(partition) or owner.hint
    if known:
        return known
    nodes = state.candidates.get(partition)
    return nodes[state.attempts % len(nodes)] if nodes else None


def _give_up(
    state: ClaimState, pending: PendingClaim, now: Millis
) -> list[Effect]:
    partition = pending.request.partition
    state.known.pop(partition, None)
    state.unavailable[partition] = later(now, UNAVAILABLE_MS)
    decided = ClaimDecided(pending.call_id, ClaimVerdict.unavailable)
    return [decided, *_release(state, pending, now)]


def _release(
    state: ClaimState, pending: PendingClaim, now: Millis
) -> list[Effect]:
    """Report that a call whose claim may have been granted never ran."""
    if not pending.sent:
        return []
    outcome = ClaimOutcome(
        pending.request.partition, pending.request.token, ClaimEnd.not_run
    )
    return _report(state, outcome, now)


def _report(
    state: ClaimState, outcome: ClaimOutcome, now: Millis
) -> list[Effect]:
    state.reports.add(outcome, now)
    return _local(state, _send_reports(state, now), now)


def _send_reports(state: ClaimState, now: Millis) -> list[Effect]:
    effects: list[Effect] = []
    for outcome in state.reports.take_due(now):
        target = _find_owner(state, outcome.partition)
        if target:
            effects.append(SendMessage(target, outcome))
    return effects


def _local(
    state: ClaimState, effects: Iterable[Effect], now: Millis
) -> list[Effect]:
    """Deliver the messages that the node sends to itself."""
    remaining: list[Effect] = []
    for effect in effects:
        if (
            isinstance(effect, SendMessage)
            and effect.node == state.settings.node
        ):
            remaining += receive(state, effect.node, effect.message, now)
        else:
            remaining.append(effect)
    return remaining
