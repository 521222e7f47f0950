"""A planned stop of a node makes it forget that its instance has left.

The departure of an instance is acknowledged and stored. Then the node beside
it is stopped and started again as planned. A heartbeat that the instance sent
before it left arrives late, at the new process, which takes the instance back.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from harness import (  # noqa: E402
    DRAIN_S,
    GRACE_S,
    LIMITS,
    TOUCH_S,
    TROUBLE,
    Deployment,
    now,
    route,
    run_case,
    tenants,
)

# How long the instance goes on serving after its acknowledgement. The site
# file has instances that stay for 15 s.
STAY_S = 14.0
# Two questions in a row without a 200 take a machine out of the clients' use.
MISSES_S = 2.0
LAYOUT = [
    ('m1', 'z1', 'orders'),
    ('m2', 'z2', 'orders'),
    ('m3', 'z1', 'catalogue'),
    ('m4', 'z2', 'catalogue'),
]
CONFIG = {
    'routes': {
        'order': route('/order/', 'orders', kind='non_idempotent'),
    },
    'services': {
        name: {'healthCheckPath': '/health', 'maxConnections': 790}
        for name in ('orders', 'catalogue')
    },
    'limits': LIMITS,
    'tenants': tenants(),
}


async def main():
    deployment = Deployment(FOLDER, LAYOUT, subnet=72)
    try:
        return await play(deployment)
    finally:
        await deployment.close()


async def play(deployment):
    record = deployment.record
    if not await deployment.start(CONFIG):
        return 2
    for machine in deployment.machines.values():
        machine.instance.work_s = 0.2
        if machine.name != 'm1':
            deployment.spawn(
                deployment.press(
                    machine,
                    5,
                    lambda at: deployment.send(
                        at, 'POST', '/order/1', body=b'x'
                    ),
                )
            )
    await asyncio.sleep(4)
    stopped = deployment.machines['m1']
    instance = stopped.instance
    instance.stop_heartbeats()
    # The last heartbeat before the departure is delayed on its way.
    instance.sequence += 1
    delayed = instance.sequence
    sent_at = now()
    record.write(f'{instance.name} sends heartbeat {delayed} (ready)')
    await asyncio.sleep(0.1)
    status = await instance.deregister()
    acknowledged = now()
    record.write(f'{instance.name} deregisters and gets {status}')
    if status != 200:
        return 2
    await asyncio.sleep(0.2)
    stopped.signal(signal.SIGTERM)
    if not await stopped.wait_for_exit(GRACE_S):
        stopped.signal(signal.SIGKILL)
        stopped.process.wait()
    record.write('m1: node has ended')
    await asyncio.sleep(0.3)
    stopped.start_node()
    if not await deployment.until_ready([stopped], 5):
        return 2
    calm = now() + TOUCH_S + 0.2
    if TROUBLE:
        status = await instance.announce(sequence=delayed, state='ready')
        record.write(
            f'heartbeat {delayed} (ready) of {instance.name} arrives '
            f'{now() - sent_at:.3f} s after it was sent, and gets {status}'
        )
    await asyncio.sleep(max(0, acknowledged + STAY_S - now()))
    record.write(f'{instance.name} ends')
    instance.close()
    await asyncio.sleep(2)
    sent = {each.request_id: each for each in deployment.sent}
    late = [
        arrival
        for arrival in instance.arrivals
        if arrival.at > acknowledged + DRAIN_S
        and sent[arrival.request_id].at > calm
    ]
    for arrival in late[:5]:
        record.write(
            f'late: {arrival.request_id}, '
            f'{arrival.at - acknowledged:.3f} s after the acknowledgement'
        )
    served = sum(each.status == 200 for each in deployment.sent)
    failed = sum(
        each.status == 502 and each.at > calm for each in deployment.sent
    )
    print(f'late arrivals {len(late)}, answered 502 {failed}, '
          f'served {served} of {len(deployment.sent)}')
    if not served:
        return 2
    return 1 if late else 0


run_case(main)
