"""Read the responses of the platform's store."""

import base64
from collections.abc import Callable

import msgspec

from jasmineramp.decoding import Count, ForeignDecoder
from jasmineramp.mesh.store import StoreItem, StoreOutcome, StoreReply
from jasmineramp.mesh.store_revisions import RevisionNumber, make_revision

_OUTCOMES = {
    200: StoreOutcome.done,
    404: StoreOutcome.missing,
    410: StoreOutcome.compacted,
    412: StoreOutcome.conflict,
    403: StoreOutcome.not_done,
    429: StoreOutcome.not_done,
    503: StoreOutcome.not_done,
}


class WireResponse(msgspec.Struct):
    """Hold a response; the era is None if the response does not tell it."""

    status: int
    content: bytes
    era: int | None


class _WireItem(msgspec.Struct):
    key: str
    revision: RevisionNumber
    value: str = ''
    deleted: bool = False
    lease: Count = 0


class _WireReply(msgspec.Struct, rename='camel'):
    """Hold the fields of all responses; each call uses a few of them."""

    # The revision of the store, or of the write in the response to a write.
    current_rev: RevisionNumber = 0
    revision: RevisionNumber = 0
    items: list[_WireItem] = []
    events: list[_WireItem] = []
    truncated: bool = False
    lease: Count = 0
    # Set in the response to a read of one key.
    key: str = ''
    value: str = ''


Converter = Callable[[_WireReply, int], StoreReply]
_decoder = ForeignDecoder(msgspec.json.Decoder(_WireReply))


def read_reply(
    response: WireResponse, era: int, convert: Converter
) -> StoreReply:
    """Return the reply for a response."""
    status = response.status
    outcome = _OUTCOMES.get(status, StoreOutcome.unknown)
    detail = '' if status == 200 else f'HTTP status {status}'  # noqa: PLR2004
    if outcome is not StoreOutcome.done and not response.content:
        return StoreReply(outcome, detail=detail)
    try:
        wire = _decoder.decode(response.content)
        if outcome is StoreOutcome.done:
            return convert(wire, era)
        items = _read_items(wire.items, era)
    except msgspec.MsgspecError as error:
        if outcome is StoreOutcome.done:
            return StoreReply(StoreOutcome.unknown, detail=str(error))
        return StoreReply(outcome, detail=detail)
    revision = make_revision(era, wire.current_rev)
    return StoreReply(outcome, revision, items, detail=detail)


def convert_item(wire: _WireReply, era: int) -> StoreReply:
    """Return the reply to a read of one key."""
    item = StoreItem(
        wire.key,
        make_revision(era, wire.revision),
        _read_value(wire.value),
    )
    return StoreReply(
        StoreOutcome.done,
        make_revision(era, wire.current_rev),
        (item,),
        lease=wire.lease,
    )


def convert_list(wire: _WireReply, era: int) -> StoreReply:
    """Return a page of items."""
    return StoreReply(
        StoreOutcome.done,
        make_revision(era, wire.current_rev),
        _read_items(wire.items, era),
        has_more=wire.truncated,
    )


def convert_events(wire: _WireReply, era: int) -> StoreReply:
    """Return the changes that a watch has seen."""
    return StoreReply(
        StoreOutcome.done,
        make_revision(era, wire.current_rev),
        _read_items(wire.events, era),
    )


def convert_write(wire: _WireReply, era: int) -> StoreReply:
    """Return the reply to a write or a call about a lease."""
    return StoreReply(
        StoreOutcome.done, make_revision(era, wire.revision), lease=wire.lease
    )


def _read_value(text: str) -> bytes:
    """Return a value, empty if it is damaged: it must not hide the others."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b''


def _read_items(wire_items: list[_WireItem], era: int) -> tuple[StoreItem, ...]:
    return tuple(
        StoreItem(
            wire.key,
            make_revision(era, wire.revision),
            None if wire.deleted else _read_value(wire.value),
            wire.lease,
        )
        for wire in wire_items
    )
