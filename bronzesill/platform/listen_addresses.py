"""
Addresses on which a host listens, read with the standard library only.

The program opens these sockets before it loads its other modules, so this
module must not import any of them.
"""

import json
from pathlib import Path

__all__ = ['HTTP_ADDRESS_COUNT', 'SETTINGS_VARIABLE', 'read_listen_addresses']

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = 'BRONZESILL_SETTINGS'

_LISTEN_FIELDS = ('frontend', 'registry', 'readiness')

#: The first addresses serve HTTP, the one that follows serves other hosts.
HTTP_ADDRESS_COUNT = len(_LISTEN_FIELDS)


def read_listen_addresses(path: Path) -> tuple[tuple[str, int], ...]:
    """
    Return the IP address and port of each TCP socket of a host.

    :param path: path of the settings file.
    :returns: empty if the file cannot be used; reading the settings in full
        reports why.
    """
    try:
        return _decode(path.read_bytes())
    except (OSError, ValueError, RecursionError):
        return ()


def _decode(text: bytes) -> tuple[tuple[str, int], ...]:
    """
    Return the addresses of the file's content.

    :raises ValueError: a field is missing or of another type.
    """
    raw = json.loads(text)
    try:
        listen = raw['listen']
        peer_address = (str(raw['ip']), int(raw['portRange'][0]))
        callers = tuple(_parse(str(listen[field])) for field in _LISTEN_FIELDS)
    except (LookupError, TypeError) as error:
        raise ValueError(f'settings without {error}') from error
    return (*callers, peer_address)


def _parse(text: str) -> tuple[str, int]:
    ip, _, port = text.rpartition(':')
    return ip, int(port)
