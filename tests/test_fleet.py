"""Test guarantees over processes: signals, key changes and outages."""

import contextlib
import functools
import http.client
import json
import os
import signal
import socket
import threading
import unittest

from bench.fleet import Fleet, Instance

from jasmineramp.authentication import digest_key
from tests.fakes.sockets import free_port, wait_until

KEY = '0123456789abcdef0123456789abcdef'
AUTHORIZED = {'X-Api-Key': KEY}
TABLE = {
    'calls': [
        {'name': 'get', 'service': 's', 'path': '/get', 'timeout_ms': 3000},
        {
            'name': 'post',
            'service': 's',
            'method': 'POST',
            'path': '/post',
            'timeout_ms': 3000,
            'idempotent': False,
        },
    ],
    'workspaces': [{'name': 'w', 'rate': 5000, 'burst': 5000}],
    'keys': [{'digest': digest_key(KEY), 'workspace': 'w'}],
    'rate_slots': 4,
}


class FreePortFleet(Fleet):
    """Run every process on free ports."""

    def __init__(self, instances: list[Instance]) -> None:
        self.address = functools.cache(self._pick_address)
        super().__init__(instances, free_port())

    def caller(self, index: int) -> str:
        return self.address('caller', index)

    def operator(self, index: int) -> str:
        return self.address('operator', index)

    def peer(self, index: int) -> str:
        return self.address('peer', index)

    def upstream_port(self, index: int) -> int:
        return int(self.address('upstream', index).partition(':')[2])

    def environment(self) -> dict[str, str]:
        return {**os.environ, 'PYTHONWARNINGS': 'ignore'}

    def _pick_address(self, kind: str, index: int) -> str:
        return f'127.0.0.1:{free_port()}'


def send(address, path='/get', key='', timeout=10.0, connection=None):
    """Send a call and return its status and JSON body."""
    closes = connection is None
    connection = connection or http.client.HTTPConnection(
        address, timeout=timeout
    )
    headers = dict(AUTHORIZED)
    if key:
        headers['Idempotency-Key'] = key
    try:
        connection.request('POST' if key else 'GET', path, headers=headers)
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    finally:
        if closes:
            connection.close()


class FleetCase(unittest.TestCase):
    """Run a fleet whose table is in force at every node."""

    def start(self, count: int, service_ms: float = 5) -> Fleet:
        instances = [
            Instance('s', f'd{index % 2}', 8, service_ms)
            for index in range(count)
        ]
        fleet = FreePortFleet(instances)
        self.addCleanup(fleet.close)
        fleet.start(json.dumps(TABLE))
        for index in range(count):
            wait_until(functools.partial(self.serves, fleet.caller(index)))
        return fleet

    def serves(self, address: str) -> bool:
        with contextlib.suppress(OSError, http.client.HTTPException):
            key = f'warm-{free_port()}-{address}'
            return (
                send(address)[0] == 200
                and send(address, '/post', key)[0] == 200
            )
        return False

    def set_service_time(
        self, fleet: Fleet, index: int, service_ms: float
    ) -> None:
        address = f'127.0.0.1:{fleet.upstream_port(index)}'
        connection = http.client.HTTPConnection(address)
        body = json.dumps({'service_ms': service_ms})
        connection.request('POST', '/.control', body)
        connection.getresponse().read()
        connection.close()

    def count_runs(self, fleet: Fleet, key: str) -> int:
        total = 0
        for index in range(len(fleet.instances)):
            port = fleet.upstream_port(index)
            _, stats = send(f'127.0.0.1:{port}', '/.stats')
            total += stats['runs'].get(key, 0)
        return total


class ProcessFailureTest(FleetCase):
    """Guard against lost or repeated calls when processes die or pause."""

    def test_calls_survive_killed_and_paused_nodes(self) -> None:
        fleet = self.start(4)
        with self.subTest('idempotent calls are retried elsewhere'):
            fleet.signal('n03', signal.SIGKILL)
            for _ in range(60):
                self.assertEqual(send(fleet.caller(0))[0], 200)
        with self.subTest('a paused node does not stop the others'):
            fleet.signal('n02', signal.SIGSTOP)
            wait_until(
                lambda: all(send(fleet.caller(0))[0] == 200 for _ in range(20)),
                60,
            )
            fleet.signal('n02', signal.SIGCONT)
            wait_until(lambda: self.serves(fleet.caller(2)))
        with self.subTest('a call repeated at another node runs once'):
            self.repeat_elsewhere(fleet)

    def repeat_elsewhere(self, fleet: Fleet) -> None:
        """Kill the entry node of a running call and repeat the call."""
        for index in range(4):
            self.set_service_time(fleet, index, 1500)
        entry = fleet.caller(1)

        def call() -> None:
            with contextlib.suppress(OSError, http.client.HTTPException):
                send(entry, '/post', 'once')

        thread = threading.Thread(target=call)
        thread.start()
        wait_until(lambda: self.count_runs(fleet, 'once'))
        fleet.signal('n01', signal.SIGKILL)
        thread.join()
        codes = set()

        def repeat() -> bool:
            status, body = send(fleet.caller(0), '/post', 'once')
            codes.add(body.get('code', status))
            return bool(codes & {'outcome_unknown', 'already_ran'})

        # The owner learns that the first call ended once its node is dead.
        with contextlib.suppress(TimeoutError):
            wait_until(repeat, 8)
        self.assertEqual(self.count_runs(fleet, 'once'), 1)
        self.assertNotIn(200, codes)


class StopTest(FleetCase):
    """Guard against a stop that interrupts calls or never finishes."""

    def test_stop_under_load(self) -> None:
        fleet = self.start(2, service_ms=60)
        results = []

        def send_calls() -> None:
            connection = http.client.HTTPConnection(fleet.caller(1), timeout=10)
            while True:
                try:
                    result = send('', connection=connection)
                except (OSError, http.client.HTTPException) as error:
                    result = (type(error).__name__, {})
                results.append(result)
                code = result[1]['code'] if result[0] == 503 else result[0]
                if code not in {200, 'overloaded'}:
                    return

        threads = [threading.Thread(target=send_calls) for _ in range(12)]
        for thread in threads:
            thread.start()
        wait_until(lambda: len(results) > 50)
        process = fleet.processes['n01']
        process.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.assertEqual(process.wait(30), 0)
        failures = [result for result in results if result[0] != 200]
        codes = [body.get('code', status) for status, body in failures]
        self.assertEqual(codes.count('draining'), 12, codes)
        self.assertLessEqual(set(codes), {'draining', 'overloaded'})
        self.assertEqual({body['run'] for _, body in failures}, {'not_run'})
        self.stop_immediately(fleet)

    def stop_immediately(self, fleet: Fleet) -> None:
        """Send a second signal while a running call delays the stop."""
        process = fleet.processes['n00']
        thread = threading.Thread(target=self.send_and_ignore, args=(fleet,))
        self.set_service_time(fleet, 0, 2500)
        thread.start()
        wait_until(lambda: self.running_calls(fleet, 0))
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: send(fleet.caller(0))[1].get('code') == 'draining')
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(2), 1)
        thread.join()

    def send_and_ignore(self, fleet: Fleet) -> None:
        with contextlib.suppress(OSError, http.client.HTTPException):
            send(fleet.caller(0))

    def running_calls(self, fleet: Fleet, index: int) -> int:
        return fleet.status(index)['details'].get('running', 0)


class PlatformTest(FleetCase):
    """Guard against withdrawn keys that still work and platform outages."""

    def test_platform_outage_and_key_withdrawal(self) -> None:
        fleet = self.start(2)
        connections = [
            http.client.HTTPConnection(fleet.caller(index), timeout=10)
            for index in range(2)
        ]
        for connection in connections:
            self.addCleanup(connection.close)
            self.assertEqual(send('', connection=connection)[0], 200)
        with self.subTest('the platform is down'):
            fleet.signal('platform', signal.SIGSTOP)
            wait_until(
                lambda: send(fleet.caller(0), '/post', 'down')[0] != 200, 30
            )
            status, refusal = send(fleet.caller(0), '/post', 'down-2')
            self.assertEqual(refusal['code'], 'claims_unavailable')
            self.assertEqual(refusal['run'], 'not_run')
            self.assertEqual(self.count_runs(fleet, 'down-2'), 0)
            self.assertEqual(send(fleet.caller(0))[0], 200)
            fleet.signal('platform', signal.SIGCONT)
        with self.subTest(
            'a withdrawn key is refused on a kept-alive connection'
        ):
            wait_until(lambda: self.serves(fleet.caller(0)), 30)
            completed = fleet.table('withdraw', digest_key(KEY))
            self.assertEqual(completed.returncode, 0, completed.stderr)
            for connection in connections:
                wait_until(
                    lambda open_connection=connection: (
                        send('', connection=open_connection)[0] == 401
                    ),
                    10,
                )


class PortTest(unittest.TestCase):
    """Guard against a node that starts although a port is in use."""

    def test_port_in_use_gives_exit_status_and_remedy(self) -> None:
        fleet = FreePortFleet([Instance('s', 'd', 1, 1)])
        self.addCleanup(fleet.close)
        for name in ('caller', 'operator', 'peer'):
            with socket.create_server(('127.0.0.1', 0)) as listener:
                address = f'127.0.0.1:{listener.getsockname()[1]}'
                fleet.start_node(0, **{name: address})
                process = fleet.processes.pop('n00')
                self.assertEqual(process.wait(20), 1)
            log = (fleet.folder / 'n00.log').read_text()
            self.assertIn(f'{address} is in use; stop the process', log)
            self.assertNotIn('Traceback', log)
