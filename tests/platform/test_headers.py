"""Test that API keys do not leak and callers' headers are not trusted."""

import unittest

from jasmineramp.ids import RowName, ServiceName, WorkspaceId
from jasmineramp.mesh.calls import CallerRequest, UpstreamCall
from jasmineramp.platform import headers


def request(*pairs: tuple[bytes, bytes]) -> CallerRequest:
    """Return a request with headers."""
    return CallerRequest(b'GET', b'/a/', list(pairs), b'')


class ReadRequestTest(unittest.TestCase):
    """Test the parsing of a caller's request headers."""

    def test_parsed_fields(self) -> None:
        head = headers.read_request(
            request(
                (b'Host', b'Shop.example:80'),
                (b'x-jasmineramp-request-id', b'abc'),
                (b'X-Jasmineramp-Deadline-Ms', b'6000'),
                (b'X-Jasmineramp-Credential', b'secret'),
                (b'X-Other', b'kept'),
            )
        )
        self.assertEqual(head.request_id, 'abc')
        self.assertEqual(head.deadline_ms, 6000)
        self.assertEqual(head.key, 'secret')
        self.assertEqual(head.host, 'shop.example')
        self.assertIn((b'X-Other', b'kept'), head.headers)

    def test_key_and_node_headers_are_not_forwarded(self) -> None:
        """Keys, forged node headers and hop-by-hop headers are dropped."""
        head = headers.read_request(
            request(
                (b'X-Jasmineramp-Credential', b'secret'),
                (b'X-Jasmineramp-Tenant', b'forged'),
                (b'X-Jasmineramp-Caller-Service', b'forged'),
                (b'X-Jasmineramp-Expect-Instance', b'forged'),
                (b'Connection', b'close, X-Private'),
                (b'X-Private', b'1'),
            )
        )
        self.assertEqual(head.headers, [])

    def test_malformed_deadline_is_ignored(self) -> None:
        for text in (b'', b'-1', b'soon', b'1e3'):
            head = headers.read_request(
                request((b'X-Jasmineramp-Deadline-Ms', text))
            )
            self.assertIsNone(head.deadline_ms)


class WriteCallTest(unittest.TestCase):
    """Test the headers that the node sets on calls to the upstream."""

    def test_node_headers_are_set(self) -> None:
        call = UpstreamCall(
            'abc',
            b'POST',
            b'/a/?q=1',
            [(b'Host', b'shop.example')],
            b'body',
            0,
            RowName('r'),
            WorkspaceId('w'),
            ServiceName('orders'),
            ServiceName('stock'),
            'i-1',
            3,
            0,
            False,
        )
        sent = headers.write_call(call, 1234.9)
        head, _, body = sent.partition(b'\r\n\r\n')
        lines = head.split(b'\r\n')
        self.assertEqual(lines[0], b'POST /a/?q=1 HTTP/1.1')
        self.assertEqual(body, b'body')
        for line in (
            b'Content-Length: 4',
            b'X-Jasmineramp-Deadline-Ms: 1234',
            b'X-Jasmineramp-Expect-Instance: i-1',
            b'X-Jasmineramp-Tenant: w',
            b'X-Jasmineramp-Caller-Service: orders',
        ):
            self.assertIn(line, lines)
