"""Claim non-idempotent calls so that each runs at most once."""

import itertools
import random
from collections.abc import Iterable, Mapping

import msgspec

from jasmineramp.claim_log import locate_claim, make_token
from jasmineramp.claim_messages import (
    ClaimAnswer,
    ClaimDecided,
    ClaimOutcome,
    ClaimRequest,
    ClaimResult,
    ClaimVerdict,
    OutcomeAnswer,
)
from jasmineramp.claim_owner import ClaimOwner
from jasmineramp.claim_requests import PendingClaim, Reports
from jasmineramp.claim_settings import ClaimSettings
from jasmineramp.claim_table import MAX_RESPONSE_BYTES
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

ANSWER_TIMEOUT_MS = 1000.0
RESEND_INTERVAL_MS = 250.0
# New claims of a partition are refused without a request for this long after
# its owner did not answer or was unavailable.
UNAVAILABLE_BACKOFF_MS = 500.0
MAX_REDIRECTS = 3
CANDIDATES_PER_PARTITION = 2


class ClaimCall(msgspec.Struct, frozen=True):
    """Describe a call that needs a claim; `digest_body` makes its digest."""

    call_id: CallId
    workspace: WorkspaceId
    key: IdempotencyKey
    body_digest: int
    deadline_ms: float


class ClaimState:
    """Hold the claims that a node requests and the partitions it owns."""

    def __init__(self, settings: ClaimSettings, seed: int) -> None:
        self.settings = settings
        self.author = f'{settings.node}/{settings.incarnation}'
        rng = random.Random(seed)
        self.owners = {
            PartitionId(index): ClaimOwner(PartitionId(index), settings, rng)
            for index in range(len(settings.domains))
        }
        self.candidate_partitions: set[PartitionId] = set()
        self.candidates: dict[PartitionId, list[NodeId]] = {}
        self.preferred_elsewhere: set[PartitionId] = set()
        self.known_owners: dict[PartitionId, NodeId] = {}
        self.unavailable_until: dict[PartitionId, Millis] = {}
        self.pending: dict[int, PendingClaim] = {}
        self.running: dict[CallId, tuple[PartitionId, int]] = {}
        self.reports = Reports()
        self.attempts = 0
        self.stopping = False


def claim(state: ClaimState, call: ClaimCall, now: Millis) -> list[Effect]:
    """Request a claim; a ClaimDecided effect follows, now or later."""
    partitions = len(state.settings.domains)
    partition, key = locate_claim(call.workspace, call.key, partitions)
    if state.unavailable_until.get(partition, now) > now:
        return [ClaimDecided(call.call_id, ClaimVerdict.unavailable)]
    state.attempts += 1
    token = make_token(state.author, state.attempts)
    timeout_ms = min(call.deadline_ms, ANSWER_TIMEOUT_MS)
    request = ClaimRequest(
        partition, partitions, key, call.body_digest, token, call.deadline_ms
    )
    pending = PendingClaim(call.call_id, request, later(now, timeout_ms), now)
    state.pending[token] = pending
    return _deliver_local(state, _send_request(state, pending, now), now)


def finish(
    state: ClaimState,
    call_id: CallId,
    result: ClaimResult,
    now: Millis,
    *,
    status: int = 0,
    response: bytes | None = None,
) -> list[Effect]:
    """Report how a claimed call ended; not_run requires proof.

    A response above `MAX_RESPONSE_BYTES` is not reported.
    """
    granted_claim = state.running.pop(call_id, None)
    if granted_claim is None:
        return []
    if response is not None and len(response) > MAX_RESPONSE_BYTES:
        response = None
    outcome = ClaimOutcome(
        granted_claim[0], granted_claim[1], result, status, response
    )
    return _queue_report(state, outcome, now)


def withdraw(state: ClaimState, call_id: CallId, now: Millis) -> list[Effect]:
    """Release the pending claim of a cancelled call."""
    for token, pending in state.pending.items():
        if pending.call_id == call_id:
            state.pending.pop(token)
            return _release(state, pending, now)
    return []


def receive(
    state: ClaimState, sender: NodeId, message: Message, now: Millis
) -> list[Effect]:
    """Handle a claim message from a node; ignore other messages."""
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
    return _deliver_local(state, effects, now)


def answered(
    state: ClaimState, event: StoreAnswered, now: Millis
) -> list[Effect]:
    """Handle the answer to a store request of role claim."""
    partition = PartitionId(int(event.tag.split('/')[1]))
    owner = state.owners[partition]
    return _deliver_local(state, owner.answered(event, now), now)


def tick(state: ClaimState, now: Millis) -> list[Effect]:
    """Repeat and time out requests, renew leases and write batches."""
    effects: list[Effect] = []
    for token, pending in list(state.pending.items()):
        if now >= pending.times_out_at:
            state.pending.pop(token)
            effects += _time_out(state, pending, now)
        elif now >= pending.resend_at:
            effects += _send_request(state, pending, now)
    effects += _send_reports(state, now)
    for partition, owner in state.owners.items():
        if (
            partition in state.candidate_partitions
            or owner.lease_until is not None
        ):
            owner.update_hand_back(partition in state.preferred_elsewhere, now)
            effects += owner.tick(now)
    return _deliver_local(state, effects, now)


def set_members(
    state: ClaimState, members: Mapping[NodeId, DomainId], now: Millis
) -> list[Effect]:
    """Choose the candidates for each partition among the alive nodes.

    The node with the lowest name of a failure domain represents it. Domains
    are ranked from the one with the index of the partition.
    """
    lowest: dict[DomainId, NodeId] = {}
    for node, domain in members.items():
        if domain not in lowest or node < lowest[domain]:
            lowest[domain] = node
    domains = state.settings.domains
    state.candidate_partitions.clear()
    state.preferred_elsewhere.clear()
    for partition, owner in state.owners.items():
        ranked = [
            domain
            for domain in domains[partition:] + domains[:partition]
            if domain in lowest
        ]
        nodes = [lowest[domain] for domain in ranked[:CANDIDATES_PER_PARTITION]]
        state.candidates[partition] = nodes
        rank = None
        if state.settings.node in nodes and not state.stopping:
            rank = nodes.index(state.settings.node)
            state.candidate_partitions.add(partition)
        owner.set_rank(rank)
        if ranked and ranked[0] != state.settings.domain:
            state.preferred_elsewhere.add(partition)
    return []


def stop(state: ClaimState, now: Millis) -> list[Effect]:
    """Start to hand over the partitions, until `is_settled` is true."""
    state.stopping = True
    state.candidate_partitions.clear()
    resigned = [owner.resign(now) for owner in state.owners.values()]
    return _deliver_local(state, itertools.chain.from_iterable(resigned), now)


def is_settled(state: ClaimState) -> bool:
    """Return whether the node can exit without leaving an unknown outcome."""
    owned = (owner.lease_until is not None for owner in state.owners.values())
    unfinished = state.pending or state.running
    return not (unfinished or state.reports.count_unconfirmed() or any(owned))


def _on_request(
    state: ClaimState, sender: NodeId, request: ClaimRequest, now: Millis
) -> list[Effect]:
    owner = state.owners.get(request.partition)
    if owner is None or not owner.accepting:
        owner_hint = owner.owner_hint if owner else NodeId('')
        reply = ClaimAnswer(
            request.partition,
            request.token,
            ClaimVerdict.not_owner,
            owner=owner_hint,
        )
        return [SendMessage(sender, reply)]
    answer = owner.ledger.handle_request(request, sender, now, owner.writable)
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
            state.reports.repeat_release(answer.token, now)
            return _send_reports(state, now)
        return []
    if answer.verdict is ClaimVerdict.not_owner:
        return _redirect(state, sender, pending, answer.owner, now)
    state.pending.pop(answer.token)
    if now >= pending.times_out_at:
        return _time_out(state, pending, now)
    state.known_owners[answer.partition] = sender
    decided = ClaimDecided(
        pending.call_id, answer.verdict, answer.status, answer.response
    )
    if granted:
        state.running[pending.call_id] = (answer.partition, answer.token)
    elif answer.verdict is ClaimVerdict.unavailable:
        state.unavailable_until[answer.partition] = later(
            now, UNAVAILABLE_BACKOFF_MS
        )
        return [decided, *_release(state, pending, now)]
    return [decided]


def _redirect(
    state: ClaimState,
    sender: NodeId,
    pending: PendingClaim,
    owner_hint: NodeId,
    now: Millis,
) -> list[Effect]:
    partition = pending.request.partition
    if (
        owner_hint
        and owner_hint != sender
        and pending.redirects < MAX_REDIRECTS
    ):
        pending.redirects += 1
        state.known_owners[partition] = owner_hint
        return _send_request(state, pending, now)
    if state.known_owners.get(partition) == sender:
        state.known_owners.pop(partition)
    return []


def _on_outcome(
    state: ClaimState, sender: NodeId, outcome: ClaimOutcome, now: Millis
) -> list[Effect]:
    owner = state.owners.get(outcome.partition)
    if owner is None or not owner.ready:
        owner_hint = owner.owner_hint if owner else NodeId('')
        refused = OutcomeAnswer(
            outcome.partition, outcome.token, accepted=False, owner=owner_hint
        )
        return [SendMessage(sender, refused)]
    answer = owner.ledger.handle_outcome(outcome, sender)
    if answer is not None:
        return [SendMessage(sender, answer)]
    return owner.flush(now)


def _on_outcome_answer(
    state: ClaimState, answer: OutcomeAnswer, now: Millis
) -> list[Effect]:
    if answer.accepted:
        state.reports.confirm(answer.token, now)
        return []
    known_owner = state.known_owners.get(answer.partition)
    if answer.owner and answer.owner != known_owner:
        state.known_owners[answer.partition] = answer.owner
        state.reports.send_now(answer.token, now)
        return _send_reports(state, now)
    return []


def _send_request(
    state: ClaimState, pending: PendingClaim, now: Millis
) -> list[Effect]:
    partition = pending.request.partition
    pending.resend_at = later(now, RESEND_INTERVAL_MS)
    target = _find_owner(state, partition)
    if not target:
        return []
    if pending.sent and pending.redirects == 0:
        # The presumed owner did not answer; the repeat may go to a candidate.
        state.known_owners.pop(partition, None)
    pending.sent = True
    return [SendMessage(target, pending.request)]


def _find_owner(state: ClaimState, partition: PartitionId) -> NodeId | None:
    owner = state.owners[partition]
    if owner.accepting:
        return state.settings.node
    known_owner = state.known_owners.get(partition) or owner.owner_hint
    if known_owner:
        return known_owner
    nodes = state.candidates.get(partition)
    return nodes[state.attempts % len(nodes)] if nodes else None


def _time_out(
    state: ClaimState, pending: PendingClaim, now: Millis
) -> list[Effect]:
    partition = pending.request.partition
    state.known_owners.pop(partition, None)
    state.unavailable_until[partition] = later(now, UNAVAILABLE_BACKOFF_MS)
    decided = ClaimDecided(pending.call_id, ClaimVerdict.unavailable)
    return [decided, *_release(state, pending, now)]


def _release(
    state: ClaimState, pending: PendingClaim, now: Millis
) -> list[Effect]:
    """Report that a call whose claim may have been granted did not run."""
    if not pending.sent:
        return []
    outcome = ClaimOutcome(
        pending.request.partition, pending.request.token, ClaimResult.not_run
    )
    return _queue_report(state, outcome, now)


def _queue_report(
    state: ClaimState, outcome: ClaimOutcome, now: Millis
) -> list[Effect]:
    state.reports.add(outcome, now)
    return _deliver_local(state, _send_reports(state, now), now)


def _send_reports(state: ClaimState, now: Millis) -> list[Effect]:
    effects: list[Effect] = []
    for outcome in state.reports.take_due(now):
        target = _find_owner(state, outcome.partition)
        if target:
            effects.append(SendMessage(target, outcome))
    return effects


def _deliver_local(
    state: ClaimState, effects: Iterable[Effect], now: Millis
) -> list[Effect]:
    """Deliver the messages that the node sends to itself; return the rest."""
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
