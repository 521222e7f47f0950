"""Define the events that drive the reducer."""

import msgspec

from jasmineramp.ids import NodeId
from jasmineramp.messages import Message


class Event(msgspec.Struct, frozen=True):
    """Base of everything that the reducer reacts to."""


class Tick(Event, frozen=True):
    """Let time pass; every 50 ms while something waits, else 200 ms."""


class MessageReceived(Event, frozen=True):
    """Report a message from another node."""

    sender: NodeId
    message: Message
