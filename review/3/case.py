"""A departure is acknowledged by a node that later takes the instance back.

A node is killed and started again while the store turns its machine away. In
that time the instance beside it deregisters and gets its acknowledgement. Once
the store serves the machine again, requests reach the instance that has left.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from harness import (  # noqa: E402
    DRAIN_S,
    LIMITS,
    TOUCH_S,
    TROUBLE,
    Deployment,
    now,
    route,
    run_case,
    tenants,
)

# The store turns the machine away for this long; the site file has 9 s.
OUTAGE_S = 5.5
# How long the instance goes on serving after its acknowledgement. The site
# file has instances that stay for 15 s.
STAY_S = 14.0
LAYOUT = [
    ('m1', 'z1', 'orders'),
    ('m2', 'z2', 'orders'),
    ('m3', 'z1', 'catalogue'),
    ('m4', 'z2', 'catalogue'),
]
CONFIG = {
    'routes': {
        'order': route('/order/', 'orders', kind='non_idempotent'),
        'browse': route('/browse/', 'catalogue'),
    },
    'services': {
        name: {'healthCheckPath': '/health', 'maxConnections': 790}
        for name in ('orders', 'catalogue')
    },
    'limits': LIMITS,
    'tenants': tenants(),
}


async def main():
    deployment = Deployment(FOLDER, LAYOUT, subnet=73)
    try:
        return await play(deployment)
    finally:
        await deployment.close()


async def play(deployment):
    record, store = deployment.record, deployment.store
    if not await deployment.start(CONFIG):
        return 2
    leaving = deployment.machines['m1']
    leaving.instance.work_s = 0.2
    deployment.machines['m2'].instance.work_s = 0.2
    for machine in deployment.machines.values():
        deployment.spawn(
            deployment.press(
                machine,
                5,
                lambda at: deployment.send(at, 'POST', '/order/1', body=b'x'),
            )
        )
    await asyncio.sleep(3)
    began = now()
    if TROUBLE:
        record.write('the store turns m1 away with 503')
        store.modes['m1'] = 'busy'
        await asyncio.sleep(0.3)
        leaving.signal(signal.SIGKILL)
        leaving.process.wait()
        await asyncio.sleep(0.3)
        leaving.start_node()
        while not await is_listening(leaving):
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.7)
    instance = leaving.instance
    instance.stop_heartbeats()
    acknowledged = None
    until = now() + 5
    while acknowledged is None and now() < until:
        status = await instance.deregister()
        record.write(f'{instance.name} deregisters and gets {status}')
        if 200 <= status < 300:
            acknowledged = now()
        else:
            await asyncio.sleep(0.3)
    if acknowledged is None:
        record.write('no acknowledgement, so nothing binds')
        return 0
    if TROUBLE:
        await asyncio.sleep(max(0, began + OUTAGE_S - now()))
        record.write('the store serves m1 again')
        store.modes['m1'] = 'serve'
    # From then on the machines are in touch.
    calm = now() + TOUCH_S + 0.2
    await asyncio.sleep(max(0, acknowledged + STAY_S - now()))
    record.write(f'{instance.name} ends')
    instance.close()
    await asyncio.sleep(2)
    return judge(deployment, instance, acknowledged, calm)


async def is_listening(machine):
    try:
        _, writer = await asyncio.open_connection(
            machine.host, machine.ports['control']
        )
    except OSError:
        return False
    writer.close()
    return True


def judge(deployment, instance, acknowledged, calm):
    record = deployment.record
    sent = {each.request_id: each for each in deployment.sent}
    late = [
        arrival
        for arrival in instance.arrivals
        if arrival.at > acknowledged + DRAIN_S
        and sent[arrival.request_id].at > calm
    ]
    cut = [
        each for each in deployment.sent
        if each.status == 502 and each.at > calm
    ]
    record.write(
        f'{len(late)} requests reached {instance.name} later than {DRAIN_S} s '
        f'after its departure was acknowledged, sent and passed on by machines '
        f'in touch; {len(cut)} requests were answered with 502 then'
    )
    for arrival in late[:5]:
        record.write(
            f'late: {arrival.request_id}, '
            f'{arrival.at - acknowledged:.3f} s after the acknowledgement'
        )
    served = sum(each.status == 200 for each in deployment.sent)
    print(f'late arrivals {len(late)}, answered 502 {len(cut)}, '
          f'served {served} of {len(deployment.sent)}')
    if not served:
        return 2
    return 1 if late else 0


run_case(main)
