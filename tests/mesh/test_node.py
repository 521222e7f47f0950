"""Test calls through complete nodes."""

import asyncio
import copy
import unittest

from bench.metadata_store import Fault

from jasmineramp.ids import NodeId
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.directory import KEY_PREFIX
from jasmineramp.mesh.peer_messages import (
    PROTOCOL_VERSION,
    Hello,
    encode_frame,
)
from jasmineramp.mesh.receive_limits import SMALL_BODY_BYTES
from tests.fakes.mesh import CONFIGURATION, KEY, Fleet, request

SIGNATURE = 'X-Jasmineramp-Response-Signature'


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """Test two nodes, each with an upstream of one service, and a store."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(2)

    async def asyncTearDown(self) -> None:
        await self.fleet.close()

    def count_runs(self, request_id: str) -> int:
        """Return how often a call ran at all upstreams together."""
        return sum(each.ran[request_id] for each in self.fleet.upstreams)

    async def lose_answer(self, _request: CallerRequest) -> None:
        """Return no response, so that the upstream aborts the connection."""

    async def answer_500(self, _request: CallerRequest) -> CallerResponse:
        """Run a call and answer with a server error."""
        return CallerResponse(500, [], b'broken')

    async def hang(self, _request: CallerRequest) -> CallerResponse:
        """Run a call that never finishes."""
        await asyncio.Event().wait()
        raise AssertionError

    def set_handler(self, handler: object) -> None:
        """Set how every upstream answers calls."""
        for upstream in self.fleet.upstreams:
            upstream.behave = handler  # type: ignore[assignment]

    async def test_answer_of_the_upstream_is_returned(self) -> None:
        status, headers, body = await self.fleet.call(
            0, '/buy/1?q=2', 'id-1', method='POST', body=b'order'
        )
        self.assertEqual((status, body), (200, b'/buy/1?q=2order'))
        self.assertIn(headers[SIGNATURE], {'i-0', 'i-1'})
        self.assertEqual(self.count_runs('id-1'), 1)

    async def test_upstream_gets_the_workspace_but_not_the_key(self) -> None:
        await self.fleet.call(0, '/read/1', 'id-1')
        received = [
            headers
            for upstream in self.fleet.upstreams
            for headers in upstream.headers
        ]
        self.assertEqual(received[0]['x-jasmineramp-tenant'], 'shop')
        self.assertEqual(received[0]['x-jasmineramp-caller-service'], 'orders')
        self.assertNotIn(KEY, str(received))

    async def test_unknown_keys_and_routes_do_not_run(self) -> None:
        for path, key, expected in (
            ('/read/1', 'other', 401),
            ('/read/1', '', 401),
            ('/none/1', KEY, 404),
        ):
            status, _, _ = await self.fleet.call(0, path, 'id-1', key=key)
            self.assertEqual(status, expected)
        self.assertEqual(self.count_runs('id-1'), 0)

    async def test_unknown_route_gets_503_from_an_outdated_table(self) -> None:
        self.fleet.nodes[0].freshness.apply_ms = 0
        status, _, _ = await self.fleet.call(0, '/none/1', 'id-1')
        self.assertEqual(status, 503)

    async def test_outdated_table_serves_only_calls_without_a_key(self) -> None:
        self.fleet.nodes[0].freshness.revoke_ms = 0
        status, headers, _ = await self.fleet.call(0, '/read/1', 'id-1')
        self.assertEqual(status, 503)
        self.assertIn('Retry-After', headers)
        status, _, _ = await self.fleet.call(0, '/inner/1', 'id-2', key='')
        self.assertEqual(status, 200)

    def starve(self, shares: dict[int, float]) -> None:
        """Let every upstream admit only a share by importance."""
        for node in self.fleet.nodes:
            for importance, share in shares.items():
                for _ in range(100):
                    node.gate.pressure.record(importance, was_refused=True)
                level = node.gate.pressure.levels[importance]
                level.admitted_share = share
                level.credit = 0

    async def test_starved_upstreams_refuse_new_calls_by_importance(
        self,
    ) -> None:
        """The refusal is immediate and says when to return."""
        self.starve({3: 0.05})
        status, headers, body = await self.fleet.call(0, '/read/1', 'id-1')
        self.assertEqual(status, 503)
        self.assertIn('Retry-After', headers)
        self.assertIn(b'services further down', body)
        self.assertEqual(self.count_runs('id-1'), 0)
        status, _, _ = await self.fleet.call(0, '/buy/1', 'id-2')
        self.assertEqual(status, 200)
        status, _, _ = await self.fleet.call(0, '/inner/1', 'id-3', key='')
        self.assertEqual(status, 200)

    async def test_calls_of_a_table_without_workspaces_are_new(self) -> None:
        """They have the importance of their row, not that of running calls."""
        configuration = copy.deepcopy(CONFIGURATION)
        configuration['tenants'] = {}
        self.fleet.configure(configuration)
        await self.fleet.until(
            lambda: all(
                node.admission.table is not None
                and not node.admission.table.has_workspaces
                for node in self.fleet.nodes
            )
        )
        self.starve({3: 0.05})
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-1', key='')
        self.assertEqual(status, 503)
        status, _, _ = await self.fleet.call(0, '/buy/1', 'id-2', key='')
        self.assertEqual(status, 200)

    async def test_unknown_kind_leaves_the_last_table_in_force(self) -> None:
        configuration = copy.deepcopy(CONFIGURATION)
        configuration['routes']['buy']['routeType'] = 'teleport'  # type: ignore
        reads = sum(
            node.store.counts['get', 'done'] for node in self.fleet.nodes
        )
        self.fleet.configure(configuration)
        await self.fleet.until(
            lambda: (
                sum(
                    node.store.counts['get', 'done']
                    for node in self.fleet.nodes
                )
                > reads + 1
            )
        )
        for path in ('/buy/1', '/read/1'):
            status, _, _ = await self.fleet.call(0, path, f'id{path}')
            self.assertEqual(status, 200)

    async def test_call_of_kind_once_is_not_retried_after_a_lost_answer(
        self,
    ) -> None:
        self.set_handler(self.lose_answer)
        status, _, _ = await self.fleet.call(0, '/buy/1', 'id-1')
        self.assertEqual(status, 502)
        self.assertEqual(self.count_runs('id-1'), 1)

    async def test_idempotent_call_is_retried_after_a_lost_answer(self) -> None:
        self.fleet.upstreams[0].behave = self.lose_answer  # type: ignore
        for each in range(4):
            self.fleet.nodes[0].retry_budget.credit.clear()
            status, _, _ = await self.fleet.call(0, '/read/1', f'id-{each}')
            self.assertEqual(status, 200)
            self.assertLessEqual(self.count_runs(f'id-{each}'), 2)

    async def test_server_error_of_an_upstream_is_returned(self) -> None:
        self.set_handler(self.answer_500)
        status, headers, body = await self.fleet.call(0, '/buy/1', 'id-1')
        self.assertEqual((status, body), (500, b'broken'))
        self.assertIn(SIGNATURE, headers)
        self.assertEqual(self.count_runs('id-1'), 1)

    async def test_call_is_cancelled_at_the_timeout_of_its_route(self) -> None:
        configuration = copy.deepcopy(CONFIGURATION)
        configuration['routes']['buy']['timeout'] = '200ms'  # type: ignore
        self.fleet.configure(configuration)
        await self.fleet.until(
            lambda: all(
                node.admission.table.routes[1].timeout_ms == 200
                for node in self.fleet.nodes
                if node.admission.table
            )
        )
        self.set_handler(self.hang)
        status, _, _ = await self.fleet.call(0, '/buy/1', 'id-1')
        self.assertEqual(status, 504)
        await self.fleet.until(
            lambda: sum(each.cancelled for each in self.fleet.upstreams) == 1
        )

    # Guards against pipelined requests that wait for each other although their
    # routes are idempotent, and against others that do not wait.
    async def test_pipelined_calls_run_by_the_kind_of_their_route(self) -> None:
        self.set_handler(self.hang)
        _, writer = await asyncio.open_connection(
            *self.fleet.nodes[0].settings.outbound
        )
        for number, path in enumerate(('read/1', 'read/2', 'buy/1', 'read/3')):
            writer.write(
                f'GET /{path} HTTP/1.1\r\nHost: a.example\r\n'
                f'X-Jasmineramp-Request-Id: id-{number}\r\n'
                f'X-Jasmineramp-Credential: {KEY}\r\n\r\n'.encode()
            )
        await self.fleet.until(
            lambda: bool(self.count_runs('id-0') and self.count_runs('id-1'))
        )
        await asyncio.sleep(0.05)
        self.assertFalse(self.count_runs('id-2') or self.count_runs('id-3'))
        writer.close()
        await self.fleet.until(
            lambda: sum(each.cancelled for each in self.fleet.upstreams) == 2
        )

    # Guards against progress that does not reach the node beside the instance.
    async def test_progress_of_a_chain_travels_with_its_calls(self) -> None:
        progress: dict[str, int] = {}

        async def make_calls(request: CallerRequest) -> CallerResponse:
            for number, node in enumerate(self.fleet.nodes):
                for call, count in node.gate.running_calls.progress.items():
                    progress.setdefault(call, count)
                if call_id in node.gate.running_calls.origins and (
                    request.target == b'/buy/1'
                ):
                    for each in range(3):
                        await self.fleet.call(
                            number, '/inner/1', f'{call_id}.{each}', key=''
                        )
            return CallerResponse(200, [])

        call_id = 'id-1'
        self.set_handler(make_calls)
        status, _, _ = await self.fleet.call(0, '/buy/1', call_id)
        self.assertEqual(status, 200)
        self.assertEqual(
            progress, {'id-1': 0, 'id-1.0': 0, 'id-1.1': 1, 'id-1.2': 2}
        )

    async def test_calls_are_cancelled_when_the_caller_disconnects(
        self,
    ) -> None:
        self.set_handler(self.hang)
        calls = [
            asyncio.create_task(self.fleet.call(0, '/read/1', f'id-{each}'))
            for each in range(6)
        ]
        await self.fleet.until(
            lambda: sum(self.count_runs(f'id-{each}') for each in range(6)) == 6
        )
        for call in calls:
            call.cancel()
        await self.fleet.until(
            lambda: sum(each.cancelled for each in self.fleet.upstreams) == 6
        )

    async def test_draining_upstream_gets_no_new_call(self) -> None:
        self.assertEqual(await self.fleet.announce(0, 'draining'), 200)
        for each in range(20):
            status, _, _ = await self.fleet.call(
                each % 2, '/read/1', f'id-{each}'
            )
            self.assertEqual(status, 200)
        self.assertFalse(self.fleet.upstreams[0].ran)

    async def test_draining_is_acknowledged_only_after_it_is_stored(
        self,
    ) -> None:
        self.fleet.store.fault = Fault.busy
        self.assertEqual(await self.fleet.announce(0, 'draining'), 503)
        self.assertFalse(self.fleet.nodes[0].record.is_ready())
        self.fleet.store.fault = Fault.none
        await self.fleet.until(self.fleet.nodes[0].registration.stored.is_set)
        self.assertEqual(await self.fleet.announce(0, 'draining'), 200)

    async def test_unreadable_announcement_changes_nothing(self) -> None:
        for fields in (
            {'info': {'service': 'orders'}},
            {'status': {'state': 'odd', 'sequence': 99}},
            {'address': 7},
        ):
            self.assertEqual(await self.fleet.announce(0, **fields), 400)
        self.assertTrue(self.fleet.nodes[0].record.is_ready())

    # Guards against LOST: nodes stopped following the entries, because another
    # writer left an odd one among them.
    async def test_odd_entries_of_another_writer_hide_no_node(self) -> None:
        entry = b'{"node":"%s","version":1,"domain":"a","host":"127.0.0.1",%s}'
        for name, fields in (
            (b'o1', b'"port":1,"x":' + b'[' * 10_000 + b']' * 10_000),
            (b'o2', b'"port":1,"slots":' + b'9' * 30),
            (b'o3', b'"port":70000,"service":"orders","instance":"i-9"'),
        ):
            self.fleet.store.write(
                f'{KEY_PREFIX}{name.decode()}', entry % (name, fields)
            )
        await self.fleet.add(2)
        await self.fleet.until(self.fleet.is_complete)
        self.assertEqual(
            set(self.fleet.nodes[0].fleet.directory.members), {'n0', 'n1', 'n2'}
        )

    # Guards against an instance that waits for an answer to odd bytes.
    async def test_nested_announcement_is_refused(self) -> None:
        status, _, _ = await request(
            self.fleet.nodes[0].settings.control,
            'POST',
            '/instances/i-0/heartbeat',
            {},
            b'{"x":' + b'[' * 10_000 + b']' * 10_000 + b'}',
        )
        self.assertEqual(status, 400)
        self.assertEqual(await self.fleet.announce(0), 200)

    # Guards against LOST: a node that bodies from its peers take over its
    # memory, and that is killed with the calls of its callers.
    async def test_large_body_from_a_peer_needs_memory(self) -> None:
        self.assertEqual(await self.fleet.announce(0, 'draining'), 200)
        budget = self.fleet.nodes[1].receive_budget
        body = bytes(2 * SMALL_BODY_BYTES)

        async def buy(request_id: str, content: bytes) -> int:
            status, _, _ = await self.fleet.call(
                0, '/buy/1', request_id, method='POST', body=content
            )
            return status

        budget.try_reserve(budget.total_bytes)
        self.assertEqual(await buy('id-1', body), 503)
        self.assertEqual(self.count_runs('id-1'), 0)
        self.assertEqual(await buy('id-2', b'small'), 200)
        budget.release(budget.total_bytes)
        self.assertEqual(await buy('id-3', body), 200)
        self.assertEqual(budget.used_bytes, 0)

    async def withdraw_key(self) -> None:
        """Withdraw the key of the callers everywhere."""
        configuration = copy.deepcopy(CONFIGURATION)
        configuration['tenants']['shop']['apiKeys'] = ['new']  # type: ignore
        self.fleet.configure(configuration)
        await asyncio.sleep(0)

        def is_in_force() -> bool:
            return all(
                node.admission.table is not None
                and node.admission.table.revision == self.fleet.store.revision
                for node in self.fleet.nodes
            )

        await self.fleet.until(is_in_force)

    async def test_withdrawn_key_is_refused(self) -> None:
        await self.withdraw_key()
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-1')
        self.assertEqual(status, 401)
        self.assertEqual(self.count_runs('id-1'), 0)

    # Guards against a key or a table that a planned stop, or a process that has
    # not read the table, brings back.
    async def test_withdrawn_key_is_refused_by_the_next_process(self) -> None:
        await self.withdraw_key()
        await self.fleet.nodes[0].registration.unregister()
        self.fleet.store.fault = Fault.silent
        node = await self.fleet.start_next_process(0)
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-1')
        self.assertEqual(status, 503)
        self.fleet.store.fault = Fault.none
        await self.fleet.until(lambda: node.admission.table is not None)
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-2')
        self.assertEqual(status, 401)
        self.assertEqual(self.count_runs('id-1') + self.count_runs('id-2'), 0)

    async def test_response_of_another_call_is_not_delivered(self) -> None:
        async def answer_another_call(
            _request: CallerRequest,
        ) -> CallerResponse:
            return CallerResponse(
                200, [(b'X-Jasmineramp-Request-Id', b'other')], b'stray'
            )

        self.set_handler(answer_another_call)
        status, _, body = await self.fleet.call(
            0, '/buy/1', 'id-1', deadline=400
        )
        self.assertIn(status, {502, 504})
        self.assertNotIn(b'stray', body)

    async def test_unsigned_response_is_a_failure(self) -> None:
        for upstream in self.fleet.upstreams:
            upstream.sign = lambda response, _: response  # type: ignore
        status, _, _ = await self.fleet.call(0, '/buy/1', 'id-1')
        self.assertEqual(status, 502)

    async def test_call_does_not_wait_for_an_unreachable_node(self) -> None:
        stopped = self.fleet.nodes[1]
        stopped.close()
        view = self.fleet.nodes[0].fleet
        await self.fleet.call(0, '/read/1', 'id-0')
        view.links[stopped.settings.node].start_connecting()
        await self.fleet.until(lambda: bool(view.entry.unreachable))
        for each in range(20):
            started = asyncio.get_running_loop().time()
            status, _, _ = await self.fleet.call(0, '/read/1', f'x-{each}')
            self.assertEqual(status, 200)
            took = asyncio.get_running_loop().time() - started
            self.assertLess(took, 0.25)

    async def test_refusal_has_a_retry_after_header(self) -> None:
        for node in self.fleet.nodes:
            node.gate.is_node_stopping = True
        status, headers, _ = await self.fleet.call(0, '/buy/1', 'id-1')
        self.assertEqual(status, 503)
        self.assertGreater(float(headers['Retry-After']), 0)
        self.assertEqual(self.count_runs('id-1'), 0)

    async def test_peer_of_another_protocol_version_is_disconnected(
        self,
    ) -> None:
        reader, writer = await asyncio.open_connection(
            *self.fleet.nodes[0].settings.inbound
        )
        writer.write(encode_frame(Hello(NodeId('n9'), PROTOCOL_VERSION + 1)))
        self.assertEqual(await self.read_to_end(reader), b'')
        writer.close()

    async def test_malformed_bytes_from_a_peer_close_the_connection(
        self,
    ) -> None:
        for malformed in (b'\xff' * 8, b'\x00\x00\x00\x01\xc1'):
            reader, writer = await asyncio.open_connection(
                *self.fleet.nodes[0].settings.inbound
            )
            writer.write(malformed)
            self.assertEqual(await self.read_to_end(reader), b'')
            writer.close()

    async def read_to_end(self, reader: asyncio.StreamReader) -> bytes:
        """Return what a connection delivers until it is closed."""
        try:
            async with asyncio.timeout(5):
                return await reader.read()
        except ConnectionResetError:
            return b''

    async def test_internal_error_does_not_claim_that_the_call_did_not_run(
        self,
    ) -> None:
        async def raise_error(_call: object) -> None:
            raise RuntimeError('fault')

        for node in self.fleet.nodes:
            node.gate.run = raise_error  # type: ignore
        status, _, _ = await self.fleet.call(0, '/buy/1', 'id-1')
        self.assertEqual(status, 502)

    async def test_metrics_count_calls_and_refusals(self) -> None:
        _, writer = await asyncio.open_connection(
            *self.fleet.nodes[0].settings.outbound
        )
        writer.write(b'nonsense')
        await self.fleet.until(
            lambda: bool(self.fleet.nodes[0].metrics.cut_callers)
        )
        writer.close()
        await self.fleet.call(0, '/read/1', 'id-1')
        await self.fleet.call(0, '/read/1', 'id-2', key='other')
        status, _, body = await request(
            self.fleet.nodes[0].settings.metrics, 'GET', '/metrics', {}
        )
        self.assertEqual(status, 200)
        for line in (
            b'jasmineramp_calls_total{outcome="answered",row="read"} 1.0',
            b'jasmineramp_refusals_total{name="key_unknown"} 1.0',
            b'jasmineramp_call_seconds_bucket{le="15.0"} 1.0',
            b'jasmineramp_callers_cut_off_total{name="malformed"} 1.0',
            b'jasmineramp_message_bytes_limit 2.6',
        ):
            self.assertIn(line, body)

    async def test_transfer_encoding_with_content_length_is_refused(
        self,
    ) -> None:
        address = self.fleet.nodes[0].settings.outbound
        status, _, _ = await request(
            address,
            'POST',
            '/buy/1',
            {'Host': 'a.example', 'Transfer-Encoding': 'chunked'},
            b'0\r\n\r\n',
        )
        self.assertEqual(status, 400)

    async def test_stopping_node_is_not_ready_but_serves_calls(self) -> None:
        node = self.fleet.nodes[0]
        status, _, _ = await request(
            node.settings.ready, 'GET', '/readiness', {}
        )
        self.assertEqual(status, 200)
        stop = asyncio.create_task(node.stop())
        await self.fleet.until(lambda: node.stopping_since is not None)
        status, _, _ = await request(
            node.settings.ready, 'GET', '/readiness', {}
        )
        self.assertEqual(status, 503)
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-1')
        self.assertEqual(status, 200)
        await stop


class StoppingNodeTest(unittest.IsolatedAsyncioTestCase):
    """Test one node with the only upstream of its service."""

    async def test_upstream_still_serves_at_the_start_of_the_stop(self) -> None:
        fleet = Fleet()
        await fleet.start(1)
        stop = asyncio.create_task(fleet.nodes[0].stop())
        await fleet.until(lambda: fleet.nodes[0].stopping_since is not None)
        status, headers, _ = await fleet.call(0, '/read/1', 'id-1')
        self.assertEqual(status, 200)
        self.assertEqual(headers['Connection'], 'close')
        await stop
        await fleet.close()
