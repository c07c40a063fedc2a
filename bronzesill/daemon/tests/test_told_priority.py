"""Priority that a host tells servers, from the configuration to the wire."""

import unittest
from unittest import mock

from ...platform.headers import PlatformDialect
from ...standins import hosted_fleet
from ...standins.worker import WorkerPlan
from .hosted_caller import HostedCaller

_PLAN = hosted_fleet.HostedPlan(
    daemons=1,
    workers=(
        WorkerPlan('e-1', 'engines', is_engine=True),
        WorkerPlan('s-1', 'shop'),
    ),
)


_CONFIGURATION = hosted_fleet.make_configuration()
_CONFIGURATION['routes'].append(
    dict(_CONFIGURATION['routes'][0], name='bulk', prefix='/bulk/', priority=2)
)


class ToldPriorityTest(unittest.IsolatedAsyncioTestCase):
    """Servers are told the priority where the configuration has several."""

    async def test_priority_is_told_where_routes_of_a_service_differ(
        self,
    ) -> None:
        """
        Guards against urgent streams that engines queue behind bulk.

        Also against a header on calls of a service with one priority.
        """
        caller = HostedCaller()
        with (
            mock.patch.object(
                hosted_fleet, 'make_configuration', _CONFIGURATION.copy
            ),
            mock.patch.object(
                PlatformDialect,
                'encode',
                autospec=True,
                side_effect=PlatformDialect.encode,
            ) as encode,
        ):
            async with hosted_fleet.HostedFleet(_PLAN) as fleet:
                address = fleet.daemons[0].settings.callers
                for target in ('/guides/1', '/bulk/1', '/lookups/1'):
                    answer = await caller.send_request(address, target)
                    self.assertEqual(answer.status, 200)
        await caller.close()
        told = [call.args[2].priority for call in encode.call_args_list]
        self.assertEqual(told, [0, 5, None])
