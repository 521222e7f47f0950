"""Ask nodes on their operator address."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple
from urllib.parse import urlencode

import msgspec
import urllib3

from jasmineramp.exceptions import JasminerampError, UnreachableError

TIMEOUT_SECONDS = 5.0
_OK = 200


class NodeAnswer(NamedTuple):
    """Hold what a node answered, or why it could not be asked."""

    address: str
    document: Any
    error: str = ''


def parse_nodes(nodes: str) -> tuple[str, ...]:
    """Split host:port,host:port; raises JasminerampError when empty."""
    addresses = tuple(part.strip() for part in nodes.split(',') if part.strip())
    wrong = [address for address in addresses if ':' not in address]
    if wrong or not addresses:
        raise InputError(
            f'--nodes {nodes!r}: {"".join(wrong[:1]) or "it"} has no port',
            'write --nodes host:port,host:port with the operator ports',
        )
    return addresses


class InputError(JasminerampError):
    """Report a command line that can't be used."""

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
        document = msgspec.json.decode(response.data)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise UnreachableError(address, type(error).__name__) from None
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise UnreachableError(address, 'the answer is not JSON') from None
    if response.status != _OK:
        raise UnreachableError(address, _error_text(document, response.status))
    return document


def ask_all(
    addresses: Iterable[str],
    path: str,
    query: Mapping[str, str] | None = None,
) -> list[NodeAnswer]:
    """Ask every node; one that can't be reached is in the answer too."""
    answers = []
    for address in addresses:
        try:
            answers.append(NodeAnswer(address, ask(address, path, query)))
        except UnreachableError as error:
            answers.append(NodeAnswer(address, None, str(error)))
    return answers


def _error_text(document: Any, status: int) -> str:
    if isinstance(document, dict) and 'error' in document:
        return str(document['error'])
    return f'HTTP status {status}'
