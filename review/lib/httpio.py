"""Reading and writing of HTTP/1.1 messages on asyncio streams."""

import asyncio

MAX_HEAD = 65536


async def read_head(reader):
    """Return the first line and the headers (lower case names) of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_body(reader, headers, until_close=False):
    """Return the whole body of a message; raise if it is cut."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read() if until_close else b''


def head(first, headers):
    """Return the bytes of a first line and headers."""
    lines = [first, *(f'{name}: {text}' for name, text in headers.items())]
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


async def close(writer):
    """Close a connection and ignore how it ends."""
    writer.close()
    try:
        await asyncio.wait_for(writer.wait_closed(), 1)
    except (OSError, asyncio.TimeoutError):
        pass
