"""Dispatch each event of a node to the policies that handle it."""

from collections.abc import Iterable
from functools import singledispatch

from jasmineramp import (
    call_attempts,
    calls,
    configuration,
    exchange,
    hops,
    idempotency,
    membership,
    propagation,
    rate_slots,
    rates,
    retries,
)
from jasmineramp.call_messages import (
    AttemptEnded,
    BackoffEnded,
    CallArrived,
    CallerLeft,
    CancelCall,
    HopArrived,
    HopEnded,
    StopRequested,
    TableLoaded,
    UpstreamAnnounced,
)
from jasmineramp.claim_messages import (
    ClaimAnswer,
    ClaimDecided,
    ClaimOutcome,
    ClaimRequest,
    OutcomeAnswer,
)
from jasmineramp.clock import Millis
from jasmineramp.effects import Effect, SendMessage
from jasmineramp.events import Event, MessageReceived, Tick
from jasmineramp.ids import NodeId
from jasmineramp.membership_messages import MembershipMessage
from jasmineramp.messages import Message
from jasmineramp.rate_messages import (
    DemandReport,
    DomainSummary,
    LenderHints,
    Loan,
    LoanRequest,
    LoanReturn,
)
from jasmineramp.retry_messages import RetryAnswer, RetryRequest
from jasmineramp.state import NodeState
from jasmineramp.store_messages import Role, StoreAnswered


def reduce(state: NodeState, event: Event, now: Millis) -> list[Effect]:
    """Apply an event to the state and return the effects to perform."""
    effects = _reduce(event, state, now)
    return _apply_internal_effects(state, effects, now)


def _apply_internal_effects(
    state: NodeState,
    effects: Iterable[Effect],
    now: Millis,
) -> list[Effect]:
    """Apply the effects that are events of this node and return the others."""
    remaining: list[Effect] = []
    for effect in effects:
        if isinstance(effect, ClaimDecided):
            decided = calls.handle_claim_decision(state, effect, now)
            remaining += _apply_internal_effects(state, decided, now)
        elif isinstance(effect, SendMessage) and effect.node == state.node:
            local_effects = _receive(effect.message, state, state.node, now)
            remaining += _apply_internal_effects(state, local_effects, now)
        else:
            remaining.append(effect)
    return remaining


@singledispatch
def _reduce(event: Event, state: NodeState, now: Millis) -> list[Effect]:
    raise NotImplementedError(type(event))


@_reduce.register
def _(event: CallArrived, state: NodeState, now: Millis) -> list[Effect]:
    return calls.handle_call(state, event, now)


@_reduce.register
def _(event: HopArrived, state: NodeState, now: Millis) -> list[Effect]:
    return hops.handle_hop(state, event, now)


@_reduce.register
def _(event: AttemptEnded, state: NodeState, now: Millis) -> list[Effect]:
    return call_attempts.end_attempt(state, event, now)


@_reduce.register
def _(event: HopEnded, state: NodeState, now: Millis) -> list[Effect]:
    return call_attempts.end_run(state, event.call_id, event.attempt, now)


@_reduce.register
def _(event: BackoffEnded, state: NodeState, now: Millis) -> list[Effect]:
    return call_attempts.start_retry(state, event.call_id, now)


@_reduce.register
def _(event: CallerLeft, state: NodeState, now: Millis) -> list[Effect]:
    return call_attempts.abandon(state, event.call_id, now)


@_reduce.register
def _(event: UpstreamAnnounced, state: NodeState, now: Millis) -> list[Effect]:
    return hops.announce(state, event.upstream, now)


@_reduce.register
def _(event: StopRequested, state: NodeState, now: Millis) -> list[Effect]:
    return propagation.stop(state, now)


@_reduce.register
def _(event: TableLoaded, state: NodeState, now: Millis) -> list[Effect]:
    return propagation.load_table(state, event, now)


@_reduce.register
def _(event: StoreAnswered, state: NodeState, now: Millis) -> list[Effect]:
    if event.role is Role.claim:
        return idempotency.answered(state.claims, event, now)
    if event.role in {Role.configuration, Role.acknowledgement}:
        effects = configuration.answered(
            state.configuration,
            event,
            state.members,
            now,
        )
        return effects + propagation.adopt_table(state, now)
    if event.role is Role.rate_slot and state.slots is not None:
        effects = rate_slots.answered(state.slots, event, now)
        return effects + propagation.refresh_slot(state, now)
    return []


@_reduce.register
def _(event: Tick, state: NodeState, now: Millis) -> list[Effect]:
    effects = membership.tick(state.membership, now)
    effects += propagation.refresh(state, now)
    effects += configuration.tick(
        state.configuration,
        state.members,
        now,
    )
    effects += propagation.adopt_table(state, now)
    effects += propagation.refresh_slot(state, now)
    # Parked calls use the tokens that arrived before more are requested.
    effects += calls.resume_parked(state, now)
    effects += rates.tick(state.rates, now)
    effects += exchange.tick(state.exchange, now)
    effects += idempotency.tick(state.claims, now)
    effects += hops.tick(state, now)
    for retry in retries.expire(state.retries, now):
        effects.extend(
            call_attempts.decide_retry(state, retry, now, granted=False),
        )
    return effects


@_reduce.register
def _(event: MessageReceived, state: NodeState, now: Millis) -> list[Effect]:
    return _receive(event.message, state, event.sender, now)


@singledispatch
def _receive(
    message: Message,
    state: NodeState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    if isinstance(message, MembershipMessage):
        return membership.receive(state.membership, sender, message, now)
    effects = configuration.receive(
        state.configuration,
        sender,
        message,
        state.members,
        now,
    )
    return effects + propagation.adopt_table(state, now)


@_receive.register(ClaimRequest)
@_receive.register(ClaimAnswer)
@_receive.register(ClaimOutcome)
@_receive.register(OutcomeAnswer)
def _(
    message: Message,
    state: NodeState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    return idempotency.receive(state.claims, sender, message, now)


@_receive.register
def _(
    message: CancelCall,
    state: NodeState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    return hops.cancel_remote(state, message.call_id, now)


@_receive.register
def _(
    message: RetryRequest,
    state: NodeState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    return [
        SendMessage(sender, retries.answer_request(state.retries, message, now))
    ]


@_receive.register
def _(
    message: RetryAnswer,
    state: NodeState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    # A late answer ends the wait like a missing one; after that, a repeated
    # answer has no effect.
    granted = retries.accept_answer(state.retries, message, now) or False
    retry = retries.Retry(message.call_id, message.attempt)
    return call_attempts.decide_retry(state, retry, now, granted=granted)


@_receive.register
def _(
    message: DemandReport,
    state: NodeState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    hints = exchange.receive_report(state.exchange, sender, message, now)
    return [] if hints is None else [SendMessage(sender, hints)]


@_receive.register
def _(
    message: DomainSummary,
    state: NodeState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    exchange.receive_summary(state.exchange, message, now)
    return []


@_receive.register
def _(
    message: LenderHints,
    state: NodeState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    rates.accept_hints(state.rates, message, now)
    return list(rates.pending_messages(state.rates, now))


@_receive.register
def _(
    message: LoanRequest,
    state: NodeState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    loan = rates.lend(state.rates, sender, message, now)
    return [] if loan is None else [SendMessage(sender, loan)]


@_receive.register
def _(
    message: Loan,
    state: NodeState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    rates.accept_loan(state.rates, sender, message, now)
    effects: list[Effect] = list(rates.pending_messages(state.rates, now))
    return effects + calls.resume_parked(state, now)


@_receive.register
def _(
    message: LoanReturn,
    state: NodeState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    rates.accept_return(state.rates, sender, message, now)
    return []
