"""
Request proxy for plain services and for streaming model engines.

Generations that are interrupted by the failure of an engine are continued
on another one.  ``docs/index.rst`` describes the subpackages.
"""

__all__ = ['__version__']

__version__ = '0.1.0'
