"""Decode what other programs wrote, into values that can be used.

A value that decodes is also in range: it can be encoded again, compared and
used as a port, a size or a time.
"""

from typing import Annotated, Generic, Protocol, TypeVar

import msgspec

_Decoded = TypeVar('_Decoded')
_Decoded_co = TypeVar('_Decoded_co', covariant=True)
_MAX_INTEGER = (1 << 63) - 1
_MAX_SLOTS = 1_000_000
# About 30 years.
_MAX_DURATION_MS = 1e12
_MAX_RATE = 1e12

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]
# Rejects NaN and infinity too.
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=_MAX_DURATION_MS)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=_MAX_RATE)]


class Decoder(Protocol[_Decoded_co]):
    """Decode bytes; msgspec's decoders are of this kind."""

    def decode(self, content: bytes, /) -> _Decoded_co:
        """Return the value."""


class ForeignDecoder(Generic[_Decoded]):
    """Decode bytes of any origin; each failure is a msgspec.MsgspecError."""

    def __init__(self, decoder: Decoder[_Decoded]) -> None:
        self.decoder = decoder

    def decode(self, content: bytes) -> _Decoded:
        """Return the value; raise msgspec.MsgspecError."""
        try:
            return self.decoder.decode(content)
        except RecursionError:
            raise msgspec.ValidationError('is nested too deeply') from None
