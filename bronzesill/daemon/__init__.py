"""Daemons for the native interface and for a hosting platform."""

from .core import Daemon
from .hosted import HostedDaemon

__all__ = ['Daemon', 'HostedDaemon']
