"""Decode the settings file that the platform writes for a node."""

import pathlib
from collections.abc import Mapping

from jasmineramp.exceptions import SettingsError
from jasmineramp.ids import DomainId, NodeId, ServiceName
from jasmineramp.mesh.node_settings import Bounds, NodeSettings
from jasmineramp.mesh.receive_limits import DEFAULT_MEMORY_BYTES, MEBIBYTE
from jasmineramp.platform.wire_values import read_duration_ms

PATH_VARIABLE = 'JASMINERAMP_BOOT'
# More calls than any instance gets in a second.
MAX_FACTOR = 1_000_000
_REMEDY = 'correct the settings file'
_ADDRESSES = {
    'outbound': 'network.listen.outbound',
    'inbound': 'network.listen.inbound',
    'ready': 'network.listen.ready',
    'control': 'network.listen.control',
    'upstream': 'self.appAddr',
    'store': 'platform.platform.address',
}


def load_settings(path: pathlib.Path) -> NodeSettings:
    """Return the settings of a file; raise SettingsError if invalid."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), str(error), _REMEDY) from None
    return decode_settings(text)


def decode_settings(text: str) -> NodeSettings:
    """Return the settings in lines `a.b=value`; raise SettingsError."""
    fields = dict(_read_lines(text))
    addresses = {
        name: _read_address(fields, field) for name, field in _ADDRESSES.items()
    }
    return NodeSettings(
        node=NodeId(_read_text(fields, 'self.node')),
        domain=DomainId(_read_text(fields, 'self.zone')),
        service=ServiceName(_read_text(fields, 'self.service')),
        metrics=(addresses['ready'][0], _read_metrics_port(fields)),
        heartbeat_ms=_read_duration_ms(fields, 'platform.heartbeat', 1500),
        least_ttl_ms=_read_duration_ms(
            fields, 'platform.platform.ttlMin', 1000
        ),
        bounds=_read_bounds(fields),
        memory_bytes=_read_size(
            fields, 'self.limits.memoryMb', DEFAULT_MEMORY_BYTES, MEBIBYTE
        ),
        store_value_bytes=_read_size(
            fields, 'platform.platform.valueBytes', MEBIBYTE
        ),
        max_descriptors=_read_count(fields, 'self.limits.maxFds'),
        **addresses,
    )


def _read_bounds(fields: Mapping[str, str]) -> Bounds:
    default = Bounds()
    return Bounds(
        apply_ms=_read_duration_ms(
            fields, 'terms.bounds.configApply', default.apply_ms
        ),
        revoke_ms=_read_duration_ms(
            fields, 'terms.bounds.revoke', default.revoke_ms
        ),
        drain_ms=_read_duration_ms(
            fields, 'terms.bounds.drain', default.drain_ms
        ),
        grace_ms=_read_duration_ms(
            fields, 'terms.bounds.grace', default.grace_ms
        ),
        retry_ratio=_read_number(
            fields, 'terms.bounds.retryBudgetRatio', default.retry_ratio
        ),
        retry_slack=_read_number(
            fields, 'terms.bounds.retryBudgetSlack', default.retry_slack
        ),
        evac_ms=_read_duration_ms(fields, 'terms.bounds.evac', default.evac_ms),
        cold_over=_read_factor(
            fields, 'terms.bounds.coldOver', default.cold_over
        ),
        cold_slack=_read_factor(
            fields, 'terms.bounds.coldSlack', default.cold_slack
        ),
    )


def _read_lines(text: str) -> list[tuple[str, str]]:
    pairs = []
    for line in text.splitlines():
        name, sign, value = line.strip().partition('=')
        if sign and not name.startswith('#'):
            pairs.append((name.strip(), value.strip()))
    return pairs


def _read_text(fields: Mapping[str, str], name: str) -> str:
    value = fields.get(name, '')
    if not value:
        raise SettingsError(name, 'is missing', _REMEDY)
    return value


def _read_address(fields: Mapping[str, str], name: str) -> tuple[str, int]:
    host, _, port = _read_text(fields, name).rpartition(':')
    if not host or not port.isdecimal():
        raise SettingsError(name, f'{fields[name]!r} is not host:port', _REMEDY)
    return host, int(port)


def _read_metrics_port(fields: Mapping[str, str]) -> int:
    # Metrics are served on the first internal port.
    port = _read_text(fields, 'network.internalPortRange').partition(',')[0]
    if not port.isdecimal():
        raise SettingsError(
            'network.internalPortRange',
            f'{port!r} is not a port number',
            _REMEDY,
        )
    return int(port)


def _read_duration_ms(
    fields: Mapping[str, str], name: str, default_ms: float
) -> float:
    value = fields.get(name)
    if not value:
        return default_ms
    try:
        return read_duration_ms(value)
    except ValueError as error:
        raise SettingsError(name, str(error), _REMEDY) from None


def _read_number(fields: Mapping[str, str], name: str, default: float) -> float:
    value = fields.get(name)
    if not value:
        return default
    try:
        return float(value)
    except ValueError:
        raise SettingsError(
            name, f'{value!r} is not a number', _REMEDY
        ) from None


def _read_factor(fields: Mapping[str, str], name: str, default: float) -> float:
    """Return a number from 0 to MAX_FACTOR."""
    number = _read_number(fields, name, default)
    if not 0 <= number <= MAX_FACTOR:
        raise SettingsError(
            name, f'{fields[name]!r} is not from 0 to {MAX_FACTOR}', _REMEDY
        )
    return number


def _read_count(fields: Mapping[str, str], name: str) -> int:
    """Return a positive number, 0 if the field is absent."""
    return _read_size(fields, name, 1) if fields.get(name) else 0


def _read_size(
    fields: Mapping[str, str], name: str, default_bytes: int, unit: int = 1
) -> int:
    """Return a positive size in bytes; `unit` is that of the field."""
    size = int(_read_number(fields, name, default_bytes / unit) * unit)
    if size <= 0:
        raise SettingsError(name, f'{fields[name]!r} is not positive', _REMEDY)
    return size
