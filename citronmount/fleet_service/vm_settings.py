"""What the process of one VM of a pool needs to know."""

import msgspec

from citronmount.core import errors
from citronmount.core import ids
from citronmount.fleet import fleet_configuration

__all__ = ["SettingsError", "VmSettings"]


class SettingsError(errors.InvalidInputError):
    """A settings file that does not say what is needed."""


class VmSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a process needs to know of its VM and site.

    Attributes:
        vm: The VM.
        failure_domain: Where it is.
        caller_address: ``ip:port`` for the calls of clients.
        ready_address: ``ip:port`` that is asked whether the VM is ready.
        metrics_address: ``ip:port`` for metrics.
        log_address: ``ip:port`` of the log service.
        advice_address: ``ip:port`` of the policies' service, or empty.
        processor_share: Processor time that the VM has, in cores.
        stop_grace_s: Time between SIGTERM and SIGKILL.
        bounds: Times that the site sets.
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
