"""Settings of the agent: its identity and its time limits."""

import msgspec

from citronmount.core import ids

__all__ = ["AgentSettings"]


class AgentSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Identity and time limits of one agent.

    Attributes:
        vm: Id of the VM.
        failure_domain: The failure domain that the VM runs in.
        incarnation: Wall-clock start time of the process in ms. It
            distinguishes the process from earlier ones on the same VM.
        policy: Name of the scheduling policy.
        heartbeat_ms: Period of heartbeats within the failure domain.
        remote_heartbeat_ms: Period of heartbeats to other failure domains.
        suspicion_ms: Time without a heartbeat after which a VM of the same
            failure domain is considered dead.
        remote_suspicion_ms: The same for VMs of other failure domains.
        pause_limit_ms: A longer gap between two events means that the process
            was paused.
        lease_ttl_ms: Lifetime of the lease of a running attempt.
        renew_period_ms: Period of lease renewals.
        reservation_ttl_ms: Lifetime of the leases of reserved tasks.
        config_poll_ms: Period of reads of the configuration stream.
        platform_poll_ms: Period of reads of the platform's list.
        log_patience_ms: Time that a write waits for the log before it is
            replicated to peers.
        call_timeout_ms: Time limit for a caller's call within the system.
        reclaim_grace_ms: Upper bound of the grace period of an eviction.
        drain_limit_ms: Time after which a drain no longer waits for another
            VM to take over or for attempts to run.
        retention_ms: Retention time of the log.
        claim_lifetime_ms: Retention time of claims of idempotency keys.
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
