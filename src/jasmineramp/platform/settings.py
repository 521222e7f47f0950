"""Decode the settings file that the platform writes for a process."""

import pathlib
from collections.abc import Mapping

from jasmineramp.exceptions import SettingsError
from jasmineramp.ids import DomainId, NodeId, ServiceName
from jasmineramp.mesh.node_settings import Bounds, NodeSettings
from jasmineramp.platform.wire_values import read_duration_ms

PATH_VARIABLE = 'JASMINERAMP_BOOT'
_REMEDY = 'correct the settings file and send SIGHUP'
_ADDRESSES = {
    'outbound': 'network.listen.outbound',
    'inbound': 'network.listen.inbound',
    'ready': 'network.listen.ready',
    'control': 'network.listen.control',
    'upstream': 'self.appAddr',
    'store': 'platform.platform.address',
}


def load_settings(path: pathlib.Path) -> NodeSettings:
    """Return the checked settings; raise SettingsError naming the place."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), str(error), _REMEDY) from None
    return decode_settings(text)


def decode_settings(text: str) -> NodeSettings:
    """Return the settings in lines of the form a.b=value."""
    fields = dict(_read_lines(text))
    addresses = {
        name: _address(fields, field) for name, field in _ADDRESSES.items()
    }
    return NodeSettings(
        node=NodeId(_text(fields, 'self.node')),
        domain=DomainId(_text(fields, 'self.zone')),
        service=ServiceName(_text(fields, 'self.service')),
        metrics=(addresses['ready'][0], _first_port(fields)),
        heartbeat_ms=_duration(fields, 'platform.heartbeat', 1500),
        least_ttl_ms=_duration(fields, 'platform.platform.ttlMin', 1000),
        bounds=_read_bounds(fields),
        **addresses,
    )


def _read_bounds(fields: Mapping[str, str]) -> Bounds:
    usual = Bounds()
    return Bounds(
        apply_ms=_duration(fields, 'terms.bounds.configApply', usual.apply_ms),
        revoke_ms=_duration(fields, 'terms.bounds.revoke', usual.revoke_ms),
        drain_ms=_duration(fields, 'terms.bounds.drain', usual.drain_ms),
        grace_ms=_duration(fields, 'terms.bounds.grace', usual.grace_ms),
        retry_ratio=_number(
            fields, 'terms.bounds.retryBudgetRatio', usual.retry_ratio
        ),
        retry_slack=_number(
            fields, 'terms.bounds.retryBudgetSlack', usual.retry_slack
        ),
    )


def _read_lines(text: str) -> list[tuple[str, str]]:
    pairs = []
    for line in text.splitlines():
        name, sign, value = line.strip().partition('=')
        if sign and not name.startswith('#'):
            pairs.append((name.strip(), value.strip()))
    return pairs


def _text(fields: Mapping[str, str], name: str) -> str:
    value = fields.get(name, '')
    if not value:
        raise SettingsError(name, 'is missing', _REMEDY)
    return value


def _address(fields: Mapping[str, str], name: str) -> tuple[str, int]:
    host, _, port = _text(fields, name).rpartition(':')
    if not host or not port.isdecimal():
        raise SettingsError(name, f'{fields[name]!r} is not host:port', _REMEDY)
    return host, int(port)


def _first_port(fields: Mapping[str, str]) -> int:
    port = _text(fields, 'network.internalPortRange').partition(',')[0]
    if not port.isdecimal():
        raise SettingsError(
            'network.internalPortRange', f'{port!r} is no port', _REMEDY
        )
    return int(port)


def _duration(fields: Mapping[str, str], name: str, usual_ms: float) -> float:
    value = fields.get(name)
    if not value:
        return usual_ms
    try:
        return read_duration_ms(value)
    except ValueError as error:
        raise SettingsError(name, str(error), _REMEDY) from None


def _number(fields: Mapping[str, str], name: str, usual: float) -> float:
    value = fields.get(name)
    if not value:
        return usual
    try:
        return float(value)
    except ValueError:
        raise SettingsError(
            name, f'{value!r} is not a number', _REMEDY
        ) from None
