"""A scheduler for multi-accelerator jobs under client account guarantees.

The packages form two products side by side:

- Stand-alone daemons (``citronmountd``): each failure domain has a scheduler of
  its own, which runs on the VM that owns the failure domain. Packages: `agent`,
  `config`, `core`, `leases`, `membership`, `peers`, `service` and `state`.
- Pool on the users' platform (``python -m citronmount.platform``): one of the
  VMs owns the whole pool and schedules it. Packages: `fleet`, `fleet_service`,
  `platform` and `workflow`.

The second product has its own scheduling. From the packages of the first it
uses only the codes, errors, ids and states in `core` and the HTTP server and
clean-up in `service`. `clients` and `telemetry` serve both. `cli` is the
command-line tool; `bench`, `standins` and `testing` hold benchmarks, stand-ins
for the platform's services and the test runner.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
