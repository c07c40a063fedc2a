"""Servers of two versions of a service, for tests of their order."""

from ...config import BackendServer
from ...routing import ServerTracker
from ...utils import Address

__all__ = ['ignore_call_end', 'make_tracker']


def ignore_call_end(*args: object, **kwargs: object) -> None:
    """Discard the result of a call."""


def make_tracker() -> ServerTracker:
    """Return the records of three servers of each of two versions."""
    tracker = ServerTracker()
    tracker.replace_servers(
        {
            f'{version}-{number}': BackendServer(
                Address('10.0.0.1', number), 'a', version, service='shop'
            )
            for version in ('v1', 'v2')
            for number in range(3)
        }
    )
    return tracker
