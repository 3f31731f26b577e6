"""The settings of the process of one VM of a pool."""

import msgspec

from citronmount.core import errors
from citronmount.core import ids
from citronmount.fleet import fleet_configuration

__all__ = ["SettingsError", "VmSettings"]


class SettingsError(errors.InvalidInputError):
    """A settings file cannot be read or decoded."""


class VmSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings of a VM and its site.

    Attributes:
        vm: The VM.
        failure_domain: The failure domain of the VM.
        caller_address: ``ip:port`` on which to serve clients.
        ready_address: ``ip:port`` on which to serve readiness probes.
        metrics_address: ``ip:port`` on which to serve metrics.
        log_address: ``ip:port`` of the log service.
        advice_address: ``ip:port`` of the service that answers advice
            requests for the queues' policies, or empty.
        processor_share: Processor time of the VM in cores.
        stop_grace_s: Seconds between SIGTERM and SIGKILL.
        bounds: Time bounds and factors of the site.
    """

    vm: ids.VmId
    failure_domain: ids.FailureDomainId
    caller_address: str
    ready_address: str
    metrics_address: str
    log_address: str
    advice_address: str
    processor_share: float
    stop_grace_s: float
    bounds: fleet_configuration.Bounds
