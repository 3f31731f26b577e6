"""What the agent must know of itself and its timing."""

import msgspec

from citronmount.core import ids

__all__ = ["AgentSettings"]


class AgentSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Identity and timing of one agent.

    Attributes:
        vm: The VM's id.
        failure_domain: Where the VM is.
        incarnation: Wall-clock start time in ms, which tells restarts apart.
        policy: The scheduling policy.
        heartbeat_ms: Period of heartbeats within the failure domain.
        remote_heartbeat_ms: Period of heartbeats to other failure domains.
        suspicion_ms: Silence after which a local VM counts as dead.
        remote_suspicion_ms: The same for other failure domains.
        pause_limit_ms: A longer gap between two events means that the process
            was paused.
        lease_ttl_ms: Lifetime of running leases.
        renew_period_ms: Period of renewals.
        reservation_ttl_ms: Lifetime of reservations.
        config_poll_ms: Period of reads of the configuration stream.
        platform_poll_ms: Period of reads of the platform's list.
        log_patience_ms: How long a write waits for the log before peers are
            asked to keep it.
        call_timeout_ms: How long a caller's call may take inside the system.
        reclaim_grace_ms: Upper bound of the grace of an eviction.
        drain_limit_ms: When a drain gives up waiting for a successor.
        retention_ms: How long the log keeps records.
        claim_lifetime_ms: How long idempotency keys are remembered.
    """

    vm: ids.VmId
    failure_domain: ids.FailureDomainId
    incarnation: int
    policy: str = "citron"
    heartbeat_ms: int = 1_000
    remote_heartbeat_ms: int = 3_000
    suspicion_ms: int = 3_000
    remote_suspicion_ms: int = 9_000
    pause_limit_ms: int = 2_000
    lease_ttl_ms: int = 10_000
    renew_period_ms: int = 3_000
    reservation_ttl_ms: int = 2_000
    config_poll_ms: int = 2_000
    platform_poll_ms: int = 2_000
    log_patience_ms: int = 400
    call_timeout_ms: int = 5_000
    reclaim_grace_ms: int = 30_000
    drain_limit_ms: int = 30_000
    retention_ms: int = 86_400_000
    claim_lifetime_ms: int = 43_200_000
