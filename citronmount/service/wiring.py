"""Builds the components of a daemon from its settings."""

import time

import structlog
from twisted.internet import interfaces

from citronmount.agent import agent as agent_lib
from citronmount.agent import settings as agent_settings
from citronmount.clients import byte_counting
from citronmount.clients import http_client
from citronmount.core import ids
from citronmount.peers import curve_keys
from citronmount.peers import peer_transport
from citronmount.service import agent_state_machine
from citronmount.service import event_loop
from citronmount.service import http_api
from citronmount.service import rate_limiter
from citronmount.service import settings as settings_lib
from citronmount.service import vm_state_machine
from citronmount.telemetry import logs
from citronmount.telemetry import metrics_registry
from citronmount.telemetry import process_usage
from citronmount.telemetry import stage_timer
from citronmount.telemetry import timeline_events
from citronmount.telemetry import timeline_store

__all__ = ["Components", "make_state_machine"]

_NS_PER_MS = 1_000_000


class Components:
    """The components of one daemon, connected but not started.

    Attributes:
        state_machine: The state machine of the VM.
        peers: The transport of messages between VMs.
        http: The HTTP client for the platform's services and the targets.
        runtime: The event loop of the state machine.
        api: The HTTP API for callers and operators.
        metrics: The metrics that the daemon exports.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        settings: settings_lib.Settings,
        state_machine: vm_state_machine.VmStateMachine,
    ) -> None:
        """Initializes the components.

        Args:
            reactor: The reactor of the process.
            settings: The validated settings.
            state_machine: The state machine of the VM.
        """
        self.state_machine = state_machine
        self.metrics = metrics_registry.MetricsRegistry()
        self.http = http_client.HttpClient(reactor=reactor)
        self.peers = peer_transport.PeerTransport(
            reactor=reactor,
            vm=settings.vm.vm_id,
            bind_address=settings.listen.peer_address,
            keys=_peer_keys(settings.curve),
            on_message=self._receive_peer_message,
        )
        self._logger = structlog.get_logger()
        self._timeline = timeline_store.TimelineStore(
            max_events=settings.limits.max_timeline_events
        )
        self._stages = stage_timer.StageTimer(
            metrics=self.metrics, account_class=self._account_class
        )
        self.runtime = event_loop.Runtime(
            reactor=reactor,
            state_machine=state_machine,
            peers=self.peers,
            http=self.http,
            addresses=event_loop.Addresses(
                log=settings.platform.log_address,
                vm_list=settings.platform.vm_list_address,
            ),
            on_trace=self._record_event,
            metrics=self.metrics,
        )
        self.api = http_api.Api(
            vm=settings.vm.vm_id,
            failure_domain=settings.vm.failure_domain_id,
            runtime=self.runtime,
            state_machine=state_machine,
            timeline=self._timeline,
            metrics=self.metrics,
            account_limiter=_make_rate_limiter(settings.limits),
            now_ms=_now_ms,
            wall_ms=_wall_ms,
        )
        self._register_gauges()

    def _receive_peer_message(self, sender: ids.VmId, message: object) -> None:
        # `peers` is created before `runtime`, which needs it.
        self.runtime.receive_peer_message(sender, message)

    def _record_event(self, event: timeline_events.TimelineEvent) -> None:
        self._timeline.add(event)
        self._stages.observe(event)
        logs.log_event(self._logger, event)

    def _account_class(self, account: str) -> str:
        configuration = self.state_machine.configuration
        accounts = () if configuration is None else configuration.accounts
        return next(
            (a.account_class.value for a in accounts if a.name == account),
            "unknown",
        )

    def _register_gauges(self) -> None:
        self.metrics.register_gauge(
            "fragmentation", self.state_machine.fragmentation
        )
        self.metrics.register_gauge(
            "process.processor_s", process_usage.processor_s
        )
        self.metrics.register_gauge(
            "process.resident_bytes", process_usage.resident_bytes
        )
        for name in peer_transport.TransportCounters.__struct_fields__:
            self.metrics.register_gauge(
                f"peers.{name}", self._peer_counter(name)
            )
        for name in byte_counting.Traffic.__struct_fields__:
            self.metrics.register_gauge(
                f"http.{name}", self._http_counter(name)
            )
        self.metrics.register_gauge(
            "open_calls", lambda: self.runtime.open_calls
        )

    def _http_counter(self, name: str) -> metrics_registry.Gauge:
        return lambda: getattr(self.http.traffic, name)

    def _peer_counter(self, name: str) -> metrics_registry.Gauge:
        return lambda: getattr(self.peers.counters, name)


def make_state_machine(
    settings: settings_lib.Settings,
) -> vm_state_machine.VmStateMachine:
    """Returns a new state machine for the VM that the settings describe.

    Args:
        settings: The validated settings.

    Returns:
        The state machine, with a new agent.
    """
    timing = settings.timing
    retention = settings.retention
    agent = agent_lib.Agent(
        settings=agent_settings.AgentSettings(
            vm=settings.vm.vm_id,
            failure_domain=settings.vm.failure_domain_id,
            incarnation=_wall_ms(),
            heartbeat_ms=timing.heartbeat_ms,
            suspicion_ms=timing.suspicion_ms,
            lease_ttl_ms=timing.lease_ttl_ms,
            renew_period_ms=timing.renew_period_ms,
            reservation_ttl_ms=timing.reservation_ttl_ms,
            config_poll_ms=timing.config_poll_ms,
            reclaim_grace_ms=timing.reclaim_grace_ms,
            retention_ms=retention.log_retention_ms,
            claim_lifetime_ms=retention.key_lifetime_ms,
        )
    )
    return agent_state_machine.AgentStateMachine(agent=agent)


def _peer_keys(
    settings: settings_lib.CurveSettings,
) -> curve_keys.PeerKeys | None:
    if not settings.enabled:
        return None
    return curve_keys.PeerKeys(
        public_key=settings.public_key,
        secret_key=settings.secret_key,
        accepted_keys=settings.allowed_public_keys,
    )


def _make_rate_limiter(
    settings: settings_lib.LimitSettings,
) -> rate_limiter.RateLimiter:
    return rate_limiter.RateLimiter(
        rate_per_s=settings.requests_per_second_per_account,
        burst=settings.burst_requests_per_account,
    )


def _now_ms() -> int:
    return time.monotonic_ns() // _NS_PER_MS


def _wall_ms() -> int:
    return time.time_ns() // _NS_PER_MS
