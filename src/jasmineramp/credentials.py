"""Read the key of the caller from a request and remove every copy."""

import re
from urllib.parse import unquote_plus

from jasmineramp.http_messages import Header

KEY_HEADER = 'x-api-key'
AUTHORIZATION = 'authorization'
QUERY_KEY = 'api_key'
COOKIE_KEY = 'api_key'
_BEARER = 'bearer '
_KEY_HEADERS = frozenset((KEY_HEADER, AUTHORIZATION))
# A shorter key could also match text that is not a key.
_MIN_KEY_LENGTH = 16
# Several Cookie headers arrive as one, joined by commas.
_COOKIE = re.compile(rf'(?:^|[;,])\s*{COOKIE_KEY}\s*=([^;,]*)')


def find_key(headers: tuple[Header, ...], query: str) -> str | None:
    """Return the key of a request from header, query or cookie."""
    cookies = ''
    for name, text in headers:
        lower = name.lower()
        if lower == KEY_HEADER:
            return text.strip()
        if lower == AUTHORIZATION and text.lower().startswith(_BEARER):
            return text[len(_BEARER) :].strip()
        if lower == 'cookie':
            cookies = text
    for part in query.split('&'):
        name, _, text = part.partition('=')
        if unquote_plus(name) == QUERY_KEY:
            return unquote_plus(text)
    match = _COOKIE.search(cookies)
    return match.group(1).strip().strip('"') if match else None


def strip_headers(
    headers: tuple[Header, ...],
    key: str | None = None,
) -> tuple[Header, ...]:
    """Return the headers without those that can hold a key.

    A header that repeats the key, such as a Referer, is removed as well.
    """
    repeated = key if key and len(key) >= _MIN_KEY_LENGTH else None
    remaining: list[Header] = []
    for name, text in headers:
        lower = name.lower()
        if lower in _KEY_HEADERS:
            continue
        value = _strip_cookies(text) if lower == 'cookie' else text
        if repeated is not None and repeated in value:
            continue
        if value or lower != 'cookie':
            remaining.append((name, value))
    return tuple(remaining)


def strip_query(query: str) -> str:
    """Return the query without the key; leave other parts unchanged."""
    parts = query.split('&')
    remaining = [
        part
        for part in parts
        if unquote_plus(part.partition('=')[0]) != QUERY_KEY
    ]
    return query if len(remaining) == len(parts) else '&'.join(remaining)


def _strip_cookies(text: str) -> str:
    return _COOKIE.sub('', text).lstrip(';, ')
