"""Decode what an instance says of itself, and the paths it calls."""

import msgspec

from jasmineramp.ids import DomainId, ServiceName
from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.upstream_state import Announcement
from jasmineramp.platform.wire_values import read_duration_ms

READY_PATH = b'/readiness'
_PREFIX = '/instances/'
_HEARTBEAT = '/heartbeat'
_LEAVE = '/deregister'
_STATES = {
    'ready': UpstreamState.ready,
    'draining': UpstreamState.draining,
}


class _WireInfo(msgspec.Struct):
    service: str
    zone: str
    slots: int
    version: str = ''


class _WireStatus(msgspec.Struct, rename='camel'):
    state: str
    sequence: int
    cold_remaining: str = '0ms'


class _WireHeartbeat(msgspec.Struct):
    address: str
    info: _WireInfo
    status: _WireStatus
    # Unix milliseconds of the start of this incarnation.
    born: int = 0


class _WireLeave(msgspec.Struct):
    born: int | None = None


_decoder = msgspec.json.Decoder(_WireHeartbeat)
_leave_decoder = msgspec.json.Decoder(_WireLeave)


def read_heartbeat_path(target: str) -> str | None:
    """Return the instance that sends a heartbeat, None for other paths."""
    return _between(target, _HEARTBEAT)


def read_leave_path(target: str) -> str | None:
    """Return the instance that leaves, None for other paths."""
    return _between(target, _LEAVE)


def decode_heartbeat(instance: str, body: bytes) -> Announcement:
    """Return an announcement; raise ValueError for one that can't be used."""
    wire = _decoder.decode(body)
    state = _STATES.get(wire.status.state)
    if state is None:
        raise ValueError(f'state {wire.status.state!r} is unknown')
    if not wire.info.service or wire.info.slots < 1:
        raise ValueError('service or slots are missing')
    return Announcement(
        instance,
        wire.born,
        wire.address,
        ServiceName(wire.info.service),
        DomainId(wire.info.zone),
        wire.info.slots,
        state,
        wire.status.sequence,
        read_duration_ms(wire.status.cold_remaining),
    )


def decode_born(body: bytes) -> int | None:
    """Return the start of an instance that leaves, None if it isn't said."""
    if not body:
        return None
    try:
        return _leave_decoder.decode(body).born
    except msgspec.MsgspecError:
        return None


def _between(target: str, suffix: str) -> str | None:
    path = target.partition('?')[0]
    if path.startswith(_PREFIX) and path.endswith(suffix):
        instance = path[len(_PREFIX) : -len(suffix)]
        return instance if instance and '/' not in instance else None
    return None
