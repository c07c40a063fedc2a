"""Check of an idle connection for an end that was not processed yet."""

from __future__ import annotations

import asyncio
import select

__all__ = ['has_pending_end']

#: Data without a request ends a connection as well.
_ENDS = select.POLLIN | select.POLLRDHUP


def has_pending_end(transport: asyncio.BaseTransport) -> bool:
    """
    Return whether the kernel holds an end, a reset or data of a connection.

    The event loop may be about to read it.  Costs one system call that does
    not block.

    :param transport: transport of a connection without a pending answer.
    :returns: ``False`` also for connections through another host.
    """
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(sock.fileno(), _ENDS)
    return bool(poller.poll(0))
