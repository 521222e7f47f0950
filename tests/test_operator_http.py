"""Test the operator HTTP application and the commands that query it."""

import contextlib
import io
import json
import threading
import unittest
from unittest import mock
from wsgiref.util import setup_testing_defaults

import waitress.server

from jasmineramp import explain_command, table_command, timeline_command
from jasmineramp.operator_http import NodeStatus, OperatorApplication
from jasmineramp.refusal_counts import RefusalCounts, count, summarize
from jasmineramp.refusals import Refusal, RefusalCode
from jasmineramp.timeline import Timeline, record, select


class FakeView:
    """Answer from a timeline and counts filled by the test."""

    def __init__(self, node: str) -> None:
        self.timeline = Timeline(node)
        self.counts = RefusalCounts(node)
        self.drained = 0
        self.level = ''

    def status(self) -> NodeStatus:
        return NodeStatus(self.timeline.node, 'd', 'ready')

    def events(self, query):
        return select(self.timeline, query, 1000)

    def refusals(self, query):
        return summarize(self.counts, query, 1000)

    def drain(self) -> None:
        self.drained += 1

    def set_log_level(self, level: str) -> None:
        self.level = level

    def refuse(self, refusal: Refusal, hop: int) -> None:
        fields = {
            'request_id': 'r1',
            'workspace': 'studio',
            'hop': hop,
            'code': refusal.code.value,
            'run': refusal.run.value,
            'row': refusal.row,
            'column': refusal.column,
            'figure': refusal.figure,
            'limit': refusal.limit,
            'revision': refusal.revision,
        }
        record(self.timeline, 'call_refused', fields, 900)
        count(self.counts, 'studio', refusal, 900)


class ApplicationTest(unittest.TestCase):
    """Guard against requests that crash the server or exhaust its memory."""

    def setUp(self) -> None:
        self.view = FakeView('a')
        self.application = OperatorApplication(self.view)

    def ask(self, method, path, query='', body=b'', content_length=None):
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'QUERY_STRING': query,
            'CONTENT_LENGTH': str(len(body))
            if content_length is None
            else content_length,
            'wsgi.input': io.BytesIO(body),
        }
        setup_testing_defaults(environ)
        received_statuses = []
        answer = self.application(
            environ, lambda status, headers: received_statuses.append(status)
        )
        return int(received_statuses[0][:3]), json.loads(b''.join(answer))

    def test_requests_reach_the_view(self) -> None:
        self.assertEqual(self.ask('GET', '/status')[1]['node'], 'a')
        record(self.view.timeline, 'call_finished', {'x': object()}, 1)
        status, document = self.ask('GET', '/events', 'kind=call_finished')
        self.assertEqual((status, len(document['events'])), (200, 1))
        self.assertEqual(self.ask('GET', '/refusals')[1]['total'], 0)
        self.ask('POST', '/drain', body=b'{}')
        self.assertEqual(self.view.drained, 1)
        self.ask('POST', '/log_level', body=b'{"level": "debug"}')
        self.assertEqual(self.view.level, 'debug')

    def test_invalid_requests_get_their_status(self) -> None:
        for expected, *request in (
            (404, 'GET', '/none'),
            (405, 'GET', '/drain'),
            (405, 'DELETE', '/status'),
            (400, 'GET', '/events', 'colour=red'),
            (400, 'GET', '/events', 'limit=many'),
            (400, 'GET', '/events', 'oldest_age=nan'),
            (400, 'GET', '/refusals', 'oldest_age=-inf'),
            (400, 'GET', '/events', 'kind=%ff'),
            (414, 'GET', '/events', 'kind=' + 'x' * 9000),
            (413, 'POST', '/drain', '', b'', '99999999'),
            (400, 'POST', '/drain', '', b'', '-1'),
            (400, 'POST', '/drain', '', b'ab', '3'),
            (400, 'POST', '/log_level', '', b'{"level": "loud"}'),
            (400, 'POST', '/log_level', '', b'\xff'),
            (400, 'POST', '/log_level', '', b'{"colour": 1}'),
        ):
            with self.subTest(request=request[:3]):
                status, document = self.ask(*request)
                self.assertEqual(status, expected, document)
                self.assertTrue(document['error'] and document['remedy'])
        self.assertEqual((self.view.drained, self.view.level), (0, ''))


class CommandTest(unittest.TestCase):
    """Guard against commands that omit a node or a refusal."""

    def setUp(self) -> None:
        self.views = [FakeView('a'), FakeView('b')]
        self.addresses = [self.serve(view) for view in self.views]

    def serve(self, view: FakeView) -> str:
        server = waitress.server.create_server(
            OperatorApplication(view), host='127.0.0.1', port=0, threads=1
        )
        stop_requested = threading.Event()

        def run() -> None:
            while not stop_requested.is_set():
                server.asyncore.loop(0.05, map=server._map, count=1)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()

        def stop() -> None:
            stop_requested.set()
            thread.join()
            server.task_dispatcher.shutdown()
            for connection in list(server._map.values()):
                connection.close()

        self.addCleanup(stop)
        return f'127.0.0.1:{server.effective_port}'

    def run_command(
        self, main, *words: str, with_unreachable_node: bool = False
    ):
        nodes = [
            *self.addresses,
            *(['127.0.0.1:1'] if with_unreachable_node else []),
        ]
        out, err = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            mock.patch('jasmineramp.operator_client.TIMEOUT_SECONDS', 2),
            self.assertRaises(SystemExit) as caught,
        ):
            main([*words, '--nodes', ','.join(nodes)])
        return caught.exception.code, out.getvalue() + err.getvalue()

    def test_timeline_merges_nodes_and_names_a_missing_one(self) -> None:
        main = timeline_command.main
        self.assertEqual(self.run_command(main)[0], 0)
        self.views[0].refuse(Refusal(RefusalCode.overloaded), 0)
        self.views[1].refuse(Refusal(RefusalCode.overloaded), 1)
        code, out = self.run_command(
            main, '--request', 'r1', with_unreachable_node=True
        )
        self.assertEqual(code, 4)
        self.assertIn('127.0.0.1:1 is missing', out)
        self.assertLess(out.index(' b call'), out.index(' a call'))
        code, out = self.run_command(main, '--form', 'html', '--last', '5s')
        self.assertIn('<table>', out)
        self.assertEqual(self.run_command(main, '--last', 'soon')[0], 2)
        self.assertEqual(self.run_command(main, '--form', 'pdf')[0], 2)

    def test_drain_reaches_the_named_node_only(self) -> None:
        with (
            contextlib.redirect_stdout(io.StringIO()) as out,
            self.assertRaises(SystemExit) as caught,
        ):
            table_command.main(['drain', self.addresses[1]])
        self.assertEqual(caught.exception.code, 0)
        self.assertIn('is draining', out.getvalue())
        self.assertEqual([view.drained for view in self.views], [0, 1])

    def test_request_explains_its_refusals(self) -> None:
        refusal = Refusal(
            RefusalCode.rate_exceeded,
            row='workspaces/studio',
            column='rate',
            figure=12,
            limit=10,
            revision=7,
        )
        self.views[1].refuse(refusal, 0)
        code, out = self.run_command(explain_command.main, 'request', 'r1')
        self.assertEqual(code, 0)
        for part in ('workspaces/studio', 'rate', '12', '10', 'node b', '7'):
            self.assertIn(part, out)
        self.assertIn('raise rate', out)
        code, out = self.run_command(explain_command.main, 'request', 'r2')
        self.assertEqual((code, 'no refusal' in out), (1, True))

    def test_explains_a_workspace_with_counts_that_add_up(self) -> None:
        for index in range(9):
            code = RefusalCode.overloaded if index % 3 else RefusalCode.draining
            self.views[index % 2].refuse(Refusal(code, row='order'), 0)
        exit_code, out = self.run_command(
            explain_command.main,
            'workspace',
            'studio',
            '--last',
            '30s',
            '--json',
            with_unreachable_node=True,
        )
        document = json.loads(out)
        self.assertEqual(exit_code, 4)
        self.assertIn('127.0.0.1:1', document['notes'][0])
        self.assertEqual(document['total'], 9)
        self.assertEqual([r['count'] for r in document['reasons']], [6, 3])
        self.assertEqual(document['reasons'][0]['nodes'], {'a': 3, 'b': 3})

    def test_reports_a_node_whose_counts_do_not_add_up(self) -> None:
        self.views[0].refuse(Refusal(RefusalCode.overloaded), 0)
        self.views[0].counts.intervals[0].totals['studio'] = 2
        _, out = self.run_command(explain_command.main, 'workspace', 'studio')
        self.assertIn('node a counts 2 refusals but 1 with a reason', out)
