"""Define the events that drive the reducer."""

import msgspec

from jasmineramp.ids import NodeId
from jasmineramp.messages import Message


class Event(msgspec.Struct, frozen=True):
    """Base of the inputs to the reducer."""


class Tick(Event, frozen=True):
    """Report that time passed: every 50 ms, or every 200 ms when idle."""


class MessageReceived(Event, frozen=True):
    """Report a message from another node."""

    sender: NodeId
    message: Message
