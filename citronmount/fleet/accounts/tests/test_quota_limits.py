import unittest

import msgspec

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet.accounts import quota_limits
from citronmount.fleet.tests import planning_fixture
from citronmount.workflow import spec


class NeverFittingGangTest(unittest.TestCase):
    def test_only_a_gang_larger_than_the_quota_never_fits(self) -> None:
        eight = fleet_configuration.Quota(max_accelerators=8)
        gang = planning_fixture.make_gang(3, accelerators=4)
        singles = msgspec.structs.replace(gang, gang=False)
        workflow = spec.Workflow(
            job=ids.JobId("b"), payload="", steps=(singles, gang)
        )
        limit = quota_limits.never_fitting_gang(eight, workflow)
        self.assertEqual((12, 8), (limit.needed, limit.quota))
        enough = fleet_configuration.Quota(max_accelerators=12)
        self.assertIsNone(quota_limits.never_fitting_gang(enough, workflow))
