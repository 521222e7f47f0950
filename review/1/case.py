"""A stopping node takes requests that it then cuts off.

The node gets SIGTERM. It admits new requests until 3.2 s after it, and ends
all that are open 5.16 s after it, though the grace period is 6 s and their
instances are at work.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from harness import (  # noqa: E402
    GRACE_S,
    LIMITS,
    TROUBLE,
    Deployment,
    now,
    route,
    run_case,
    tenants,
)

WORK_S = 2.4
# Requests sent up to this long after the SIGTERM are excused if their instance
# is at work in the last sixth of the grace period.
EXCUSED_S = 3.0
LAYOUT = [
    ('m1', 'z1', 'approvals'),
    ('m2', 'z2', 'casedesk'),
    ('m3', 'z1', 'casedesk'),
]
CONFIG = {
    'routes': {
        'approve': route(
            '/approve/', 'approvals', kind='non_idempotent', timeout_ms=5000
        ),
    },
    'services': {
        name: {'healthCheckPath': '/health', 'maxConnections': 790}
        for name in ('approvals', 'casedesk')
    },
    'limits': LIMITS,
    'tenants': tenants(),
}


async def main():
    deployment = Deployment(FOLDER, LAYOUT, subnet=71)
    try:
        return await play(deployment)
    finally:
        await deployment.close()


async def play(deployment):
    record = deployment.record
    if not await deployment.start(CONFIG):
        return 2
    # The only machine of its zone: while its node isn't ready, fewer than half
    # of the zone's nodes are in, so that its clients go on sending to it.
    stopped = deployment.machines['m2']
    deployment.machines['m1'].instance.work_s = WORK_S
    deployment.spawn(
        deployment.press(
            stopped,
            10,
            lambda at: deployment.send(at, 'POST', '/approve/1', body=b'x'),
        )
    )
    await asyncio.sleep(4)
    told = now()
    if TROUBLE:
        stopped.signal(signal.SIGTERM)
        ended = await stopped.wait_for_exit(GRACE_S)
        record.write(f'm2: node ended by itself: {ended}')
        if not ended:
            stopped.signal(signal.SIGKILL)
            stopped.process.wait()
        stopped.start_node()
    await asyncio.sleep(max(0, told + GRACE_S + 3 - now()))
    runs = {each.request_id: each for each in deployment.arrivals()}
    cut = [
        each
        for each in deployment.sent
        if told + EXCUSED_S < each.at < told + GRACE_S + 1
        and each.request_id in runs
        and each.status is None
        and each.answered is not None
        and each.answered < each.at + 4.5
    ]
    for each in cut:
        record.write(
            f'cut: {each.request_id}, sent {each.at - told:.3f} s after the '
            f'SIGTERM, run {runs[each.request_id].at - told:.3f} s after it, '
            f'connection ended {each.answered - told:.3f} s after it: '
            f'{each.error}'
        )
    served = sum(each.status == 200 for each in deployment.sent)
    print(f'cut {len(cut)}, served {served} of {len(deployment.sent)}')
    if not served:
        return 2
    return 1 if cut else 0


run_case(main)
