"""Define the effects that the reducer returns as data."""

import enum
from typing import Any

import msgspec

from jasmineramp.ids import NodeId, WorkspaceId
from jasmineramp.messages import Message
from jasmineramp.refusals import Refusal


class Effect(msgspec.Struct, frozen=True):
    """Base of the actions that the dispatcher performs for the reducer."""


class SendMessage(Effect, frozen=True):
    """Send a message to another node; it may be lost."""

    node: NodeId
    message: Message


class CountRefusal(Effect, frozen=True):
    """Count a refusal by its reason."""

    workspace: WorkspaceId
    refusal: Refusal


class EventKind(enum.Enum):
    """Name the kinds of events on the timeline."""

    call_refused = 'call_refused'
    call_finished = 'call_finished'
    retry_decided = 'retry_decided'
    slot_changed = 'slot_changed'
    configuration_in_force = 'configuration_in_force'
    configuration_rejected = 'configuration_rejected'
    configuration_accepted = 'configuration_accepted'
    member_changed = 'member_changed'
    upstream_changed = 'upstream_changed'
    claim_changed = 'claim_changed'
    node_started = 'node_started'
    node_stopping = 'node_stopping'


class RecordEvent(Effect, frozen=True):
    """Record an event on the timeline of the node."""

    kind: EventKind
    fields: dict[str, Any]
