"""The directory names a machine for longer than the rule allows after it was removed.

Eight entry processes stand in five zones of three regions, as on the site, less some. The only one
in ``ap-south`` is stopped by SIGTERM and leaves; from then on its clients are sent to all
other regions. Later the machines of ``euw-a`` are replaced: one is removed without SIGTERM,
then another is added at a new address, and so on. Clients in ``ap-south`` go on asking the
directories of ``use-a`` where to connect.
"""

import asyncio
import json
import os
import tempfile
import time

from standins import (
    SIGKILL,
    SIGTERM,
    Backend,
    Entry,
    Store,
    call,
    limits,
    network_prefix,
    route,
    run_case,
    service,
    wait_until_ready,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = {
    'euw-a': 'eu-west',
    'use-a': 'us-east',
    'aps-a': 'ap-south',
    'euw-b': 'eu-west',
    'use-b': 'us-east',
}
# As on the site, but for one of the two zones of ap-south and two machines there.
MACHINES = {'euw-a': 2, 'use-a': 3, 'aps-a': 1, 'euw-b': 1, 'use-b': 1}
HOST = 'desk.example'
# The bound of the rule: ``contact`` of the site, and three seconds.
CONTACT_S = 3.0
LONG_OFF_S = CONTACT_S + 3.0
MORE_THAN = 3
LOOKUPS_PER_S = 90
# Machines that are removed, and those that are added after them.
REPLACED = (('front-euw-a-1', 'front-euw-a-3'), ('front-euw-a-2', 'front-euw-a-4'), ('front-euw-a-3', ''))
LEAD_S = 8.0
LEAVING_S = 9.0
WATCHED_S = 8.0
JOINING_S = 5.0


async def look_up(entry, record, answers, removed):
    answer = await call(
        entry.address('directory'),
        'GET',
        f'/v1/resolve?name={HOST}&region=ap-south&zone=aps-a',
        timeout_s=1.0,
    )
    now = time.monotonic()
    if answer is None or answer[0] != 200:
        return
    named = json.loads(answer[2])['addresses']
    for address, removed_at in removed.items():
        running = [one for one in named if one not in removed]
        off_s = now - removed_at
        if address in named and running and off_s > LONG_OFF_S:
            answers.append(off_s)
            record.write(f'{entry.name} names {address}, off for {off_s:.3f} s, beside {running}')


async def clients(entries, record, answers, removed):
    number = 0
    pending = set()
    while True:
        number += 1
        task = asyncio.ensure_future(
            look_up(entries[number % len(entries)], record, answers, removed)
        )
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(1 / LOOKUPS_PER_S)


async def play(record):
    prefix = network_prefix()
    store = Store()
    await store.start(f'{prefix}.200')
    document = {
        'version': 3,
        'resources': [
            route('files', '/files/', kind='idempotent', service='desk', host=HOST),
            service('desk'),
            limits(),
        ],
    }
    store.put('op', 'config', document)
    for number, zone in enumerate(ZONES):
        await Backend(store, id=f'i-{number}', service='desk', zone=zone).start(f'{prefix}.201')
    names = [(zone, n) for zone, count in MACHINES.items() for n in range(1, count + 1)]
    with tempfile.TemporaryDirectory() as folder:
        by_name = {
            f'front-{zone}-{n}': Entry(
                name=f'front-{zone}-{n}', zone=zone, host=f'{prefix}.{number}', folder=folder
            )
            for number, (zone, n) in enumerate(names, start=1)
        }
        entries = list(by_name.values())
        seeds = [by_name[f'front-{zone}-1'].address('control') for zone in ('euw-a', 'use-a')]
        asking = None
        try:
            for entry in entries:
                entry.write_settings(store=store, zones=ZONES, seeds=seeds)
                entry.start()
            await wait_until_ready(entries)
            await asyncio.sleep(LEAD_S)
            record.write('SIGTERM to front-aps-a-1, which leaves')
            by_name['front-aps-a-1'].signal(SIGTERM)
            await asyncio.sleep(LEAVING_S)
            answers, removed = [], {}
            directories = [entry for entry in entries if entry.zone == 'use-a']
            asking = asyncio.ensure_future(clients(directories, record, answers, removed))
            for victim, successor in REPLACED:
                if TROUBLE:
                    record.write(f'{victim} is removed without SIGTERM')
                    by_name[victim].signal(SIGKILL)
                    removed[by_name[victim].address('front')] = time.monotonic()
                await asyncio.sleep(WATCHED_S)
                if successor:
                    record.write(f'{successor} is added')
                    added = Entry(
                        name=successor,
                        zone='euw-a',
                        host=f'{prefix}.{len(entries) + 1}',
                        folder=folder,
                    )
                    by_name[successor] = added
                    entries.append(added)
                    added.write_settings(store=store, zones=ZONES, seeds=seeds)
                    added.start()
                    await wait_until_ready([added])
                    await asyncio.sleep(JOINING_S)
            asking.cancel()
            record.write(f'{len(answers)} answers named a machine that was off for more than 6 s')
            if not all([await entry.is_ready() for entry in directories]):
                return 2
            is_broken = len(answers) > MORE_THAN
            record.write(f'DRAIN: {"broken" if is_broken else "held"}')
            return int(is_broken)
        finally:
            if asking is not None:
                asking.cancel()
            for entry in entries:
                entry.stop()


if __name__ == '__main__':
    run_case(play, os.path.dirname(os.path.abspath(__file__)))
