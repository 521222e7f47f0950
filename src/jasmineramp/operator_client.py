"""Query nodes at their operator addresses."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple
from urllib.parse import urlencode

import msgspec
import urllib3

from jasmineramp.decoding import ForeignDecoder
from jasmineramp.exceptions import JasminerampError, UnreachableError

TIMEOUT_SECONDS = 5.0
_STATUS_OK = 200

_decoder: ForeignDecoder[Any] = ForeignDecoder(msgspec.json.Decoder())


class NodeAnswer(NamedTuple):
    """Hold the answer of a node, or why there is none."""

    address: str
    document: Any
    error: str = ''


def parse_nodes(nodes: str) -> tuple[str, ...]:
    """Split host:port,host:port; raises InputError if one has no port."""
    addresses = tuple(part.strip() for part in nodes.split(',') if part.strip())
    invalid = [address for address in addresses if ':' not in address]
    if invalid or not addresses:
        raise InputError(
            f'--nodes {nodes!r}: {"".join(invalid[:1]) or "it"} has no port',
            'write --nodes host:port,host:port with the operator ports',
        )
    return addresses


class InputError(JasminerampError):
    """Report an invalid command line."""

    exit_code = 2


def ask(
    address: str,
    path: str,
    query: Mapping[str, str] | None = None,
    body: Any = None,
) -> Any:
    """Return the JSON answer of one node; raises UnreachableError."""
    target = f'http://{address}{path}'
    if query:
        target = f'{target}?{urlencode(query)}'
    try:
        response = urllib3.request(
            'GET' if body is None else 'POST',
            target,
            body=None if body is None else msgspec.json.encode(body),
            headers={'Content-Type': 'application/json', 'Connection': 'close'},
            timeout=TIMEOUT_SECONDS,
            retries=False,
        )
        document = _decoder.decode(response.data)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise UnreachableError(address, type(error).__name__) from None
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise UnreachableError(address, 'the answer is not JSON') from None
    if response.status != _STATUS_OK:
        raise UnreachableError(
            address, _error_message(document, response.status)
        )
    return document


def ask_all(
    addresses: Iterable[str],
    path: str,
    query: Mapping[str, str] | None = None,
) -> list[NodeAnswer]:
    """Query every node; an unreachable one yields an answer with an error."""
    answers = []
    for address in addresses:
        try:
            answers.append(NodeAnswer(address, ask(address, path, query)))
        except UnreachableError as error:
            answers.append(NodeAnswer(address, None, str(error)))
    return answers


def _error_message(document: Any, status: int) -> str:
    if isinstance(document, dict) and 'error' in document:
        return str(document['error'])
    return f'HTTP status {status}'
