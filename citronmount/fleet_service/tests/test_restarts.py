"""What left or was withdrawn while a VM was down is not used after it."""

from twisted.internet import defer

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log

DONE = states.JobState.DONE


class RestartTest(pool_fixture.PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.guaranteed_accelerators = {"acme": 2, "bolt": 2}
        self.publish_configuration(version=2)
        self.run_for(1.0)

    def stop_all(self) -> None:
        for number, vm in enumerate(self.pool_vms):
            self.log.faults[ids.VmId(f"vm{number}")] = pool_log.LogFault.SILENT
            defer.ensureDeferred(vm.release_ownership())
            vm.stop()
        self.run_for(1.0)
        self.log.faults.clear()

    def start_all(self) -> None:
        first = self.vm_count
        self.pool_vms = [self.make_vm(first + n) for n in range(self.vm_count)]
        self.run_for(5.0)

    def withdraw_key_and_worker(self) -> None:
        self.guaranteed_accelerators = {"bolt": 2}
        self.publish_configuration(version=3)
        self.remove_entry("w00")
        self.pool_workers.workers[ids.WorkerId("w00")].crash()

    def assert_not_in_use(self) -> None:
        for vm in self.pool_vms:
            configuration = vm.job_service.configuration
            self.assertEqual(3, configuration.version)
            queue = configuration.queues[0]
            self.assertIsNone(configuration.authenticate(queue, "key-acme"))
            self.assertEqual(
                "bolt", configuration.authenticate(queue, "key-bolt")
            )
        vm = self.owner_index()
        self.submit("late", pool_fixture.make_step(tasks=24), vm=vm)
        self.run_for(4.0)
        self.assertIs(DONE, self.state("late", vm=vm))
        places = {place for _, _, place in self.starts_of("late")}
        self.assertEqual({"w01", "w10", "w11"}, places)

    def test_restart_of_all_vms(self) -> None:
        self.stop_all()
        self.withdraw_key_and_worker()
        self.start_all()
        self.assert_not_in_use()

    def test_restart_after_the_history_has_expired(self) -> None:
        self.stop_all()
        self.withdraw_key_and_worker()
        for topic in ports.Topic:
            self.log.drop_history(topic)
        self.start_all()
        self.assert_not_in_use()

    def test_run_on_the_worker_that_left_is_run_again_once(self) -> None:
        self.run_time_ms = lambda task, run: 4_000
        self.submit(
            "j", pool_fixture.make_step(tasks=4, max_tasks_per_worker=1)
        )
        self.run_for(1.0)
        self.stop_all()
        self.withdraw_key_and_worker()
        self.start_all()
        self.run_for(15.0)
        self.assertIs(DONE, self.state("j", vm=self.owner_index()))
        self.assertEqual(5, len(self.starts_of("j")))
        self.run_time_ms = lambda task, run: 1_000
        self.assert_not_in_use()

    def test_outage_in_which_the_history_expired(self) -> None:
        for expired in (False, True):
            with self.subTest(expired=expired):
                for number in range(self.vm_count):
                    name = ids.VmId(f"vm{number}")
                    self.log.faults[name] = pool_log.LogFault.REFUSES
                self.run_for(2.0)
                if not expired:
                    self.withdraw_key_and_worker()
                else:
                    for topic in ports.Topic:
                        self.log.drop_history(topic)
                self.log.faults.clear()
                self.run_for(5.0)
                self.assert_not_in_use()
                self.pool_workers.starts.clear()
                self.pool_workers.finished_tasks.clear()
                self.log.append_records(
                    ports.Topic.JOBS, [("j/late", None), ("e/late", None)]
                )
                self.run_for(1.0)
