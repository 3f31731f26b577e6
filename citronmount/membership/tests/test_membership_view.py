import unittest

from citronmount.clients import messages
from citronmount.core import ids
from citronmount.membership import membership_view
from citronmount.peers import peer_messages

LOCAL_DOMAIN = ids.FailureDomainId("fd-a")
REMOTE_DOMAIN = ids.FailureDomainId("fd-b")


def make_view():
    view = membership_view.MembershipView(
        vm=ids.VmId("a0"),
        failure_domain=LOCAL_DOMAIN,
        suspicion_ms=3_000,
        remote_suspicion_ms=9_000,
    )
    view.ready = True
    return view


def make_heartbeat(domain=LOCAL_DOMAIN, *, incarnation=1, sequence=1, **fields):
    values = {"ready": True, "draining": False, **fields}
    return peer_messages.Heartbeat(
        failure_domain=domain,
        incarnation=incarnation,
        sequence=sequence,
        config_version=ids.Version(1),
        config_offset=ids.Offset(1),
        **values,
    )


def platform_listing(*vms):
    return messages.PlatformView(
        vms=tuple(
            messages.ListedVm(
                vm=ids.VmId(vm), failure_domain=LOCAL_DOMAIN, peer_address=""
            )
            for vm in vms
        )
    )


class MembershipViewTest(unittest.TestCase):
    def test_vm_is_alive_until_suspicion_time_passes(self):
        view = make_view()
        view.record_heartbeat("a1", make_heartbeat(), 1_000)
        view.record_heartbeat("b0", make_heartbeat(REMOTE_DOMAIN), 1_000)
        self.assertEqual(view.live_peers(4_000), ["a1", "b0"])
        self.assertEqual(view.live_peers(4_001), ["b0"])
        self.assertEqual(view.live_peers(10_001), [])

    def test_late_and_duplicate_heartbeats_are_ignored(self):
        view = make_view()
        self.assertTrue(
            view.record_heartbeat("a1", make_heartbeat(sequence=5), 0)
        )
        self.assertFalse(
            view.record_heartbeat("a1", make_heartbeat(sequence=5), 100)
        )
        self.assertFalse(
            view.record_heartbeat("a1", make_heartbeat(sequence=4), 100)
        )
        restarted = make_heartbeat(incarnation=2, sequence=1)
        self.assertTrue(view.record_heartbeat("a1", restarted, 100))
        self.assertFalse(
            view.record_heartbeat("a1", make_heartbeat(sequence=6), 200)
        )

    def test_candidates_are_ready_and_not_draining(self):
        view = make_view()
        view.record_heartbeat("a1", make_heartbeat(ready=False), 0)
        view.record_heartbeat("a2", make_heartbeat(draining=True), 0)
        view.record_heartbeat("a3", make_heartbeat(), 0)
        self.assertEqual(view.candidates(LOCAL_DOMAIN, 0), ["a0", "a3"])
        view.draining = True
        self.assertEqual(view.candidates(LOCAL_DOMAIN, 0), ["a3"])

    def test_views_agree_on_owner(self):
        first = make_view()
        first.record_heartbeat("a1", make_heartbeat(), 0)
        second = membership_view.MembershipView(
            vm=ids.VmId("a1"),
            failure_domain=LOCAL_DOMAIN,
            suspicion_ms=3_000,
            remote_suspicion_ms=9_000,
        )
        second.ready = True
        second.record_heartbeat("a0", make_heartbeat(), 0)
        self.assertEqual(
            first.owner(LOCAL_DOMAIN, 0), second.owner(LOCAL_DOMAIN, 0)
        )

    def test_voters_follow_the_platform_list_not_heartbeats(self):
        view = make_view()
        view.update_listing(platform_listing("a0", "a1", "a2"))
        view.record_heartbeat("a3", make_heartbeat(), 0)
        self.assertEqual(view.voters(), ["a0", "a1", "a2"])
        view.update_listing(platform_listing("a0", "a2"))
        self.assertEqual(view.voters(), ["a0", "a2"])

    def test_suspicion_timers_restart_after_a_pause(self):
        view = make_view()
        view.record_heartbeat("a1", make_heartbeat(), 0)
        self.assertFalse(view.is_alive("a1", 20_000))
        view.restart_suspicion_timers(20_000)
        self.assertTrue(view.is_alive("a1", 20_000))


if __name__ == "__main__":
    unittest.main()
