"""
Modules that the hosted daemon's program loads.

After a kill of all hosts callers wait for the imports, and the memory of each
process is paid on every host, so both must not grow unnoticed.
"""

import subprocess
import sys
import unittest

_PROGRAM = 'bronzesill.daemon.hosted_program'
#: Upper bounds on the number of modules; raise them only with a reason.  The
#: part that connects through peers has six of them.  The connectors of servers,
#: the choice of servers for generations, the placement of their attempts, the
#: asking of peers, the end of a planned stop, the connections of callers and
#: the interface of limiters were parts of modules that had grown large, as were
#: the messages of the store and the channels between hosts; what servers say of
#: their leaving is told to other hosts by one more, and how old knowledge of
#: the store may be is decided in one.  Decisions under load have modules
#: of their own: nine for speeds and expected times, four for silent streams,
#: four for connections, seven for invalid answers and memory,
#: and ten for the queue of waiting requests.
_MAX_OWN_MODULES = 189
_MAX_MODULES = 644
#: Libraries and packages that only the native interface and the tool use.
_UNUSED = frozenset(
    (
        'aiohttp',
        'statsd',
        'yaml',
        'bronzesill.cli',
        'bronzesill.orders',
        'bronzesill.standins',
        'bronzesill.calls.ledger',
        'bronzesill.gateway.completions',
        'bronzesill.daemon.core',
    )
)


def _loaded_modules() -> frozenset[str]:
    listing = subprocess.run(
        (sys.executable, '-c', f'import {_PROGRAM}, sys; print(*sys.modules)'),
        check=True,
        capture_output=True,
        text=True,
    )
    return frozenset(listing.stdout.split())


class ProgramModulesTest(unittest.TestCase):
    """The program loads what it uses and no more."""

    def setUp(self) -> None:
        self.modules = _loaded_modules()

    def test_unused_modules_are_not_loaded(self) -> None:
        self.assertEqual(self.modules & _UNUSED, frozenset())

    def test_number_of_modules_is_bounded(self) -> None:
        own = [name for name in self.modules if name.startswith('bronzesill')]
        self.assertLessEqual(len(own), _MAX_OWN_MODULES)
        self.assertLessEqual(len(self.modules), _MAX_MODULES)


if __name__ == '__main__':
    unittest.main()
