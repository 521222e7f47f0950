"""Read the caller's key from a request and remove it everywhere."""

import re
from urllib.parse import unquote_plus

from jasmineramp.http_messages import Header

KEY_HEADER = 'x-api-key'
AUTHORIZATION = 'authorization'
QUERY_KEY = 'api_key'
COOKIE_KEY = 'api_key'
_BEARER = 'bearer '
_REMOVED = frozenset((KEY_HEADER, AUTHORIZATION))
# A shorter key would also match texts that are not keys.
_LEAST_KEY_LENGTH = 16
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
    found = _COOKIE.search(cookies)
    return found.group(1).strip().strip('"') if found else None


def strip_headers(
    headers: tuple[Header, ...],
    key: str | None = None,
) -> tuple[Header, ...]:
    """Return the headers without any place that can hold a key.

    A header that repeats the key, such as a Referer, is removed as well.
    """
    repeated = key if key and len(key) >= _LEAST_KEY_LENGTH else None
    kept: list[Header] = []
    for name, text in headers:
        lower = name.lower()
        if lower in _REMOVED:
            continue
        value = _strip_cookies(text) if lower == 'cookie' else text
        if repeated is not None and repeated in value:
            continue
        if value or lower != 'cookie':
            kept.append((name, value))
    return tuple(kept)


def strip_query(query: str) -> str:
    """Return the query without the key; other parts stay as they are."""
    parts = query.split('&')
    kept = [
        part
        for part in parts
        if unquote_plus(part.partition('=')[0]) != QUERY_KEY
    ]
    return query if len(kept) == len(parts) else '&'.join(kept)


def _strip_cookies(text: str) -> str:
    return _COOKIE.sub('', text).lstrip(';, ')
