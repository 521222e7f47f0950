"""Define the base class of the messages between nodes."""

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of every message that one node sends to another."""
