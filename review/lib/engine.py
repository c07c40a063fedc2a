"""Stand-in for a model worker: prompts are read in turn, tokens in batches.

The figures are those of the sheets: 8 prompt tokens are read in a ms, a step
takes 3.29 ms and 0.0262 ms more for 1,000 tokens in memory, and an event of a
stream holds 8 tokens.
"""

import asyncio

import httpio
from worker import Worker

PREFILL_PER_S = 8000
FIRST_S = 0.08
STEP_S = 0.00329
CONTEXT_S = 0.0262e-3 / 1000
STRIDE = 8


def event(number):
    """Return an event; all workers make the same one for a number."""
    return f'id: {number}\ndata: piece {number} {"x" * 40}\n\n'.encode()


def make_engine(fleet, name, zone):
    worker = Worker(fleet, name, 'engines', zone, slots=12, queue=25)
    worker.prefill = asyncio.Lock()
    worker.tokens = 0
    #: Cleared while the worker is cut off.
    worker.link = asyncio.Event()
    worker.link.set()
    worker.answer = _answer
    return worker


async def _answer(worker, writer, ident, headers, body):
    if not worker.link.is_set():
        # Sent into the cut: it has not arrived.
        worker.fleet.runs[ident].pop()
        await worker.link.wait()
        writer.transport.abort()
        return
    prompt, output = (int(n) for n in headers['x-token-usage'].split(','))
    first = int(headers.get('last-event-id', 0)) + 1
    total = (output + STRIDE - 1) // STRIDE
    pieces = [
        httpio.head(
            'HTTP/1.1 200 OK',
            {
                **worker.signed(ident),
                'Content-Type': 'text/event-stream',
                'X-Weight-Versions': '1',
                'Transfer-Encoding': 'chunked',
            },
        )
    ]
    worker.tokens += prompt + output
    try:
        await _send(worker, writer, pieces)
        async with worker.prefill:
            await asyncio.sleep(FIRST_S + prompt / PREFILL_PER_S)
        for number in range(first, total + 1):
            await asyncio.sleep(STRIDE * (STEP_S + CONTEXT_S * worker.tokens))
            if worker.has_exited:
                break
            piece = event(number)
            pieces.append(b'%x\r\n%b\r\n' % (len(piece), piece))
            await _send(worker, writer, pieces)
        else:
            pieces.append(b'0\r\n\r\n')
            worker.fleet.record(f'{worker.name} made all {total} events of {ident}')
        await worker.link.wait()
        if worker.has_exited and pieces:
            worker.fleet.record(f'link: {len(pieces)} parts of {ident} of {worker.name} arrive')
        await _send(worker, writer, pieces)
        if worker.has_exited:
            await httpio.close(writer)
    except ConnectionError:
        worker.fleet.record(f'{worker.name}: connection of {ident} closed at work')
        raise
    finally:
        worker.tokens -= prompt + output


async def _send(worker, writer, pieces):
    """
    Send what is made; on a cut link it waits until the link is back.

    TCP sends again what a cut has held up.  That holds also after the process
    has ended, as its system goes on to send what it had been given.
    """
    if not worker.link.is_set():
        return
    writer.write(b''.join(pieces))
    pieces.clear()
    await writer.drain()
    if writer.transport.is_closing() and not worker.has_exited:
        raise ConnectionResetError


def crash(worker):
    """End the process; its system sends what it had been given."""
    worker.has_exited = True
    worker.beat.cancel()
    worker.server.close()
