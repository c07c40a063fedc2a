"""A daemon that is stopped accepts streams that it can't bring to their end."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))

import fleet as f
from engine import event, make_engine

GRACE_S = f.BOUNDS['gracePeriodS']
#: Seconds from SIGTERM to the short streams.  Some clients keep a lookup of
#: ttlS = 2 for three times as long, so they may still choose the daemon then.
SENT_AFTER_S = (5.7, 5.8, 5.88, 5.96)
#: Prompt tokens and output tokens: the mean of the sheet, and a short one.
LONG = (8000, 1040)
SHORT = (2000, 220)
#: A large one, within the largest of the site file (14,400 and 180 events).
LARGE = (12000, 1400)
#: Seconds between two long streams: 0.67 a second for each engine, which reads
#: prompts for 67 in 100 of the time.
LONG_EVERY_S = 0.5


async def stream(fleet, daemon, ident, size, answers):
    """Send one stream and note when it was sent, its end and its size."""
    client = f.Client(fleet, daemon)
    try:
        await client.open()
    except OSError:
        fleet.record(f'{ident}: no connection to {daemon.name}')
        return
    headers = {
        'X-Model': 'm',
        'X-Token-Usage': '%d,%d' % size,
        'X-Prefix-Hash': f'{abs(hash(ident)) % 2**32:08x}:{size[0]}',
    }
    sent_s = fleet.now()
    await client.send(ident, 'POST', f'/guide/{ident}', 25000, headers, b'p' * size[0])
    answers[ident] = (sent_s, await client.receive(ident), fleet.now(), size)
    client.close()


def is_whole(answer, size):
    if isinstance(answer, str) or answer[0] != 200:
        return False
    total = (size[1] + 7) // 8
    return answer[2] == b''.join(event(n) for n in range(1, total + 1))


async def main():
    fleet = f.Fleet(Path(__file__).parent)
    for zone in 'abc':
        fleet.workers.append(make_engine(fleet, f'e-{zone}', zone))
    answers = {}
    tasks = []
    try:
        await fleet.start(3)
        await asyncio.sleep(3)
        stopped = fleet.daemons[0]

        def send(daemon, ident, size):
            tasks.append(asyncio.create_task(stream(fleet, daemon, ident, size, answers)))

        async def usual_traffic():
            number = 0
            while True:
                daemons = fleet.daemons[int(is_stopping):]
                send(daemons[number % len(daemons)], f'long-{number}', LONG)
                number += 1
                await asyncio.sleep(LONG_EVERY_S)

        is_stopping = False
        usual = asyncio.create_task(usual_traffic())
        await asyncio.sleep(10)
        # One of those that run at the daemon when it is stopped.
        send(stopped, 'large', LARGE)
        await asyncio.sleep(0.2)
        lookup = await fleet.get(
            fleet.daemons[1].ip, fleet.ports['registry'],
            f'/v1/lookup?name={f.HOST}&region=eu&zone=a', 1,
        )
        fleet.record(f'clients look up: {lookup[2].decode()}')
        found = json.loads(lookup[2])
        if '%s:%d' % stopped.frontend not in found['addresses']:
            raise RuntimeError('the daemon is not in the lookup')
        began_s = fleet.now()
        if f.TROUBLE:
            stopped.signal(signal.SIGTERM)
        is_stopping = True
        for number, after_s in enumerate(SENT_AFTER_S):
            await asyncio.sleep(began_s + after_s - fleet.now())
            if after_s < 3 * found['ttlS']:
                send(stopped, f'short-{number}', SHORT)
        if f.TROUBLE:
            await stopped.wait(GRACE_S)
        await asyncio.sleep(3)
        usual.cancel()
        await asyncio.wait(tasks, timeout=20)
        broken = []
        for ident, (sent_s, answer, ended_s, size) in sorted(answers.items()):
            whole = is_whole(answer, size)
            status = answer if isinstance(answer, str) else answer[0]
            after_s = sent_s - began_s
            fleet.record(
                f'{ident}: sent {after_s:.2f} s after SIGTERM, ended after {ended_s - sent_s:.2f} s: '
                f'{status}, whole: {whole}, run by {fleet.runs.get(ident)}'
            )
            # Not judged: requests sent no later than 3 s after the SIGTERM.
            is_refused = not isinstance(answer, str) and answer[0] in (429, 503)
            if after_s > 3 and not whole and not is_refused and ident in fleet.runs:
                broken.append(ident)
        refused = sum(not isinstance(a[1], str) and a[1][0] == 503 for a in answers.values())
        print(f'{len(answers)} streams; {len(broken)} that were passed on to a worker ended '
              f'without a whole answer: {broken}; {refused} refused')
    finally:
        await fleet.stop()
    return 1 if broken else 0


f.run(main)
