"""Read the caller's key from a request and remove it everywhere."""

from urllib.parse import parse_qsl, urlencode

from jasmineramp.http_messages import Header

KEY_HEADER = 'x-api-key'
AUTHORIZATION = 'authorization'
QUERY_KEY = 'api_key'
COOKIE_KEY = 'api_key'
_BEARER = 'bearer '
_REMOVED = frozenset((KEY_HEADER, AUTHORIZATION))


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
    if QUERY_KEY in query:
        for name, text in parse_qsl(query, keep_blank_values=True):
            if name == QUERY_KEY:
                return text
    for part in cookies.split(';'):
        name, _, text = part.strip().partition('=')
        if name == COOKIE_KEY:
            return text
    return None


def strip_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers without any place that can hold a key."""
    kept: list[Header] = []
    for name, text in headers:
        lower = name.lower()
        if lower in _REMOVED:
            continue
        if lower == 'cookie':
            cookies = _strip_cookies(text)
            if cookies:
                kept.append((name, cookies))
        else:
            kept.append((name, text))
    return tuple(kept)


def strip_query(query: str) -> str:
    """Return the query without the key; other parts stay as they are."""
    if QUERY_KEY not in query:
        return query
    pairs = parse_qsl(query, keep_blank_values=True)
    if all(name != QUERY_KEY for name, _ in pairs):
        return query
    return urlencode([pair for pair in pairs if pair[0] != QUERY_KEY])


def _strip_cookies(text: str) -> str:
    parts = [part.strip() for part in text.split(';')]
    return '; '.join(
        part for part in parts if part.partition('=')[0] != COOKIE_KEY
    )
