"""Test which calls of callers a node admits."""

import random
import unittest
from unittest import mock

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.ids import Revision, RowName, ServiceName, WorkspaceId
from jasmineramp.mesh.admitted_call import AdmittedCall
from jasmineramp.mesh.caller_admission import CallerAdmission
from jasmineramp.mesh.calls import (
    CallerRequest,
    CallHead,
    CallKind,
    Failure,
)
from jasmineramp.mesh.freshness import Freshness
from jasmineramp.mesh.route_table import (
    RankedWorkspace,
    RouteRow,
    RouteTable,
    ServiceShare,
    TargetSplit,
)
from jasmineramp.mesh.running_calls import Origin, RunningCalls
from jasmineramp.refusals import RefusalCode, RunState
from jasmineramp.table import WorkspaceRow

NOW = Millis(1000)
HOST = 'a.example'
SHOP = WorkspaceId('shop')
ROUTE = RouteRow(
    RowName('inner'),
    HOST,
    '/inner/',
    (ServiceShare(ServiceName('stock'), 1),),
    CallKind.idempotent,
    timeout_ms=500,
    objective_ms=300,
    rank=1,
    attempts=2,
    is_open=True,
)
PARENT = Origin(importance=2, is_repeat=True)


class StoppingAdmissionTest(unittest.IsolatedAsyncioTestCase):
    """Test a stopping node whose upstream still runs the call "a1"."""

    def setUp(self) -> None:
        rng = random.Random(1)
        running_calls = RunningCalls(rng)
        running_calls.add('a1', PARENT)
        freshness = Freshness(apply_ms=1500, revoke_ms=1000)
        freshness.record_confirmation(NOW)
        self.admission = CallerAdmission(
            ServiceName('orders'),
            running_calls,
            quotas=mock.Mock(),
            split=TargetSplit(rng),
            freshness=freshness,
        )
        self.admission.table = RouteTable(
            Revision(1),
            'v1',
            routes=(ROUTE,),
            workspaces={SHOP: RankedWorkspace(WorkspaceRow(SHOP, 0, 0), None)},
        )
        self.admission.is_refusing = True

    async def admit(
        self, request_id: str, target: bytes = b'/inner/1'
    ) -> AdmittedCall | Failure:
        """Offer a call without a key."""
        request = CallerRequest(b'GET', target, [], b'')
        head = CallHead(request_id, 200, '', HOST, [])
        return await self.admission.admit(request, head, NOW)

    # Guards against calls that fail half-way in a planned stop, because the
    # node refuses the calls that its upstream makes for them.
    async def test_call_of_a_running_call_is_admitted(self) -> None:
        admitted = await self.admit('a1.b2')
        self.assertIsInstance(admitted, AdmittedCall)
        assert isinstance(admitted, AdmittedCall)
        call = admitted.upstream_call
        self.assertEqual((call.importance, call.is_repeat), PARENT)
        self.assertEqual(admitted.deadline.earliest(), NOW + 200)

    # Guards against a stop that goes on taking new requests.
    async def test_other_calls_are_refused_as_not_run(self) -> None:
        for request_id in ('', 'b2', 'a1', 'a2.b2', 'a1.b2.c3'):
            with self.subTest(request_id):
                refusal = await self.admit(request_id)
                assert isinstance(refusal, Failure)
                self.assertEqual(refusal.code, RefusalCode.draining)
                self.assertIs(refusal.run, RunState.not_run)

    # Guards against requests that a stopping node passes on and then cuts off,
    # because they may last longer than the node.
    async def test_call_that_may_outlast_the_node_is_refused(self) -> None:
        self.admission.is_refusing = False
        self.admission.latest_end = Millis(NOW + 199)
        refusal = await self.admit('b2')
        assert isinstance(refusal, Failure)
        self.assertEqual(refusal.code, RefusalCode.draining)
        self.assertIs(refusal.run, RunState.not_run)

    async def test_call_that_ends_before_the_node_is_admitted(self) -> None:
        self.admission.is_refusing = False
        self.admission.latest_end = Millis(NOW + 200)
        self.assertIsInstance(await self.admit('b2'), AdmittedCall)

    # Guards against calls of the upstream that the end of the node cuts off.
    async def test_call_of_a_running_call_ends_before_the_node(self) -> None:
        self.admission.latest_end = Millis(NOW + 50)
        admitted = await self.admit('a1.b2')
        assert isinstance(admitted, AdmittedCall)
        self.assertEqual(admitted.deadline.earliest(), NOW + 50)

    # Guards against a parent that stands in for the checks of its calls.
    async def test_call_of_a_running_call_needs_a_route(self) -> None:
        refusal = await self.admit('a1.b2', b'/none/1')
        assert isinstance(refusal, Failure)
        self.assertEqual(refusal.code, RefusalCode.route_unknown)

    # Guards against a call that may run only once beside others of its
    # connection, because the table changed after its kind was looked up.
    async def test_changed_kind_of_a_pipelined_request_is_refused(self) -> None:
        self.admission.is_refusing = False
        request = CallerRequest(b'GET', b'/inner/1', [], b'', waited_ms=50)
        head = CallHead('b2', 200, '', HOST, [])
        self.assertTrue(self.admission.is_idempotent(request, head))
        admitted = await self.admission.admit(request, head, NOW)
        assert isinstance(admitted, AdmittedCall)
        self.assertEqual(admitted.deadline.earliest(), NOW + 150)
        route = msgspec.structs.replace(ROUTE, kind=CallKind.once)
        self.admission.table = RouteTable(Revision(2), 'v2', routes=(route,))
        refusal = await self.admission.admit(request, head, NOW)
        assert isinstance(refusal, Failure)
        self.assertIs(refusal.run, RunState.not_run)
