"""Endpoints that leave or whose rows expire while the store fails, in virtual time."""

import random

import pytest

from plantainloft_node.entry.store_polling import LONG_WAIT_S
from plantainloft_standins.leaving_simulation import LeavingScenario, simulate_leaving
from plantainloft_standins.simulated_store import FailureMode, Outage

INSTANCES = tuple(f'e{region}-{number}' for region in range(3) for number in range(4))
# An endpoint gets no new requests this long after its row was removed. This does not
# apply until OUTAGE_RECOVERY_S after an outage for all instances. Expired rows are written
# again within REREGISTRATION_S of the end of an outage.
MAX_STALE_S = 2.5
OUTAGE_RECOVERY_S = 4.0
REREGISTRATION_S = 2.0
# Ends just before a next configuration is written, so that the last one has had almost
# 4 s to reach all instances. The time per byte corresponds to 5 Mbit/s.
LARGE_CONFIGURATION = LeavingScenario(
    seed=1,
    outages=(),
    leaves_at=(9.0, 13.5, 17.2),
    per_region=12,
    config_interval_s=4.0,
    config_bytes=300_000,
    byte_s=1.6e-6,
    duration_s=23.9,
)


def partial_outage(seed: int, failure_mode: FailureMode) -> LeavingScenario:
    """A store that fails a third of the instances while endpoints leave."""
    rng = random.Random(seed)
    failed = frozenset(rng.sample(INSTANCES, 4))
    return LeavingScenario(
        seed=seed,
        outages=(Outage(8.0, 24.0, failure_mode, failed),),
        leaves_at=tuple(at + rng.random() for at in (12.0, 16.0, 20.0, 25.0)),
        duration_s=30.0,
    )


def full_outage(seed: int, failure_mode: FailureMode, *, duration_s: float) -> LeavingScenario:
    """An outage in which rows expire; an endpoint leaves OUTAGE_RECOVERY_S after it."""
    start_s = 10.0 + random.Random(seed).random() * 4.0
    outage = Outage(start_s, start_s + duration_s, failure_mode)
    return LeavingScenario(
        seed=seed,
        outages=(outage,),
        rows_expire=(True,),
        leaves_at=(outage.end_s + OUTAGE_RECOVERY_S,),
        duration_s=outage.end_s + OUTAGE_RECOVERY_S + 4.0,
    )


def overlapping_outages(seed: int) -> LeavingScenario:
    """Outages for all and for some, overlapping, with datagrams lost.

    Endpoints leave during outages for some instances, and OUTAGE_RECOVERY_S after
    outages for all.
    """
    rng = random.Random(seed)
    outages: list[Outage] = []
    start_s = 6.0
    for _ in range(rng.randint(1, 3)):
        start_s += rng.uniform(0.0, 6.0)
        end_s = start_s + rng.uniform(0.3, 10.0)
        outages.append(
            Outage(start_s, end_s, rng.choice(list(FailureMode)), random_outage_scope(rng))
        )
        beside_s = start_s + rng.uniform(-3.0, 3.0)
        failed = frozenset(rng.sample(INSTANCES, rng.randint(1, 5)))
        outages.append(Outage(beside_s, end_s + rng.uniform(0, 8), FailureMode.REFUSING, failed))
        start_s = end_s
    for_all = [one for one in outages if not one.instances]
    candidates = [one.end_s + OUTAGE_RECOVERY_S for one in for_all]
    candidates += [rng.uniform(one.start_s, one.end_s + 3.0) for one in outages if one.instances]
    leaves_at = sorted(at for at in candidates if all(is_outside(one, at) for one in for_all))
    return LeavingScenario(
        seed=seed,
        outages=tuple(outages),
        leaves_at=tuple(leaves_at),
        loss_rate=rng.choice([0.01, 0.05]),
        config_interval_s=rng.choice([0.5, 2.0, 5.0, 20.0]),
        duration_s=max([*leaves_at, *(one.end_s for one in outages)]) + 2 * MAX_STALE_S,
    )


def random_outage_scope(rng: random.Random) -> frozenset[str]:
    some = rng.sample(INSTANCES, rng.randint(1, 5))
    return frozenset(some if rng.random() < 0.5 else ())


def is_outside(outage: Outage, at: float) -> bool:
    """Return whether ``at`` is at least OUTAGE_RECOVERY_S away from ``outage``."""
    return at < outage.start_s - OUTAGE_RECOVERY_S or at >= outage.end_s + OUTAGE_RECOVERY_S


@pytest.mark.parametrize('seed', range(8))
def test_an_endpoint_that_leaves_is_dropped_in_time_whatever_the_store_does(seed: int) -> None:
    """Endpoints that leave are dropped within MAX_STALE_S under overlapping outages."""
    result = simulate_leaving(overlapping_outages(seed))
    assert [one for one in result.stale_uses if one.stale_s > MAX_STALE_S] == []


@pytest.mark.parametrize('failure_mode', FailureMode)
@pytest.mark.parametrize('seed', [0, 5, 8, 10])
def test_no_instance_that_the_store_fails_uses_an_endpoint_that_left(
    seed: int, failure_mode: FailureMode
) -> None:
    """Symptom: requests reach an endpoint 2.5 to 2.9 s after its row was removed.

    The store doesn't answer a third of the instances. One of them learns of the
    removal from a peer, but both peers that it had asked to probe the store got no
    answer either, and it asked no other until its next call failed, 2.3 s later.
    (Seeds 0, 5, 8 and 10 with a silent store.)
    """
    result = simulate_leaving(partial_outage(seed, failure_mode))
    assert [one for one in result.stale_uses if one.stale_s > MAX_STALE_S] == []


@pytest.mark.parametrize('failure_mode', FailureMode)
@pytest.mark.parametrize('duration_s', [1.0, 5.4])
def test_an_endpoint_that_leaves_after_an_outage_is_dropped_in_time(
    duration_s: float, failure_mode: FailureMode
) -> None:
    """Symptom: requests reach an endpoint 2.65 s after its row was removed.

    As in `test_leaving`: polls that the store never answered time out just before
    the row is removed.
    """
    result = simulate_leaving(full_outage(3, failure_mode, duration_s=duration_s))
    assert [one for one in result.stale_uses if one.stale_s > MAX_STALE_S] == []


@pytest.mark.parametrize('failure_mode', FailureMode)
@pytest.mark.parametrize('duration_s', [5.2, 8.0])
def test_endpoints_whose_rows_expired_are_used_until_they_may_be_back(
    duration_s: float, failure_mode: FailureMode
) -> None:
    """Symptom: no endpoint is usable for two seconds after an outage of the store."""
    scenario = full_outage(1, failure_mode, duration_s=duration_s)
    rewritten_by = scenario.outages[0].end_s + REREGISTRATION_S
    assert [one for one in simulate_leaving(scenario).false_drops if one.at < rewritten_by] == []


def with_more_instances(scenario: LeavingScenario, seed: int) -> LeavingScenario:
    """Return ``scenario`` with twelve instances per region, most of which don't poll.

    The instances affected by outages are drawn again, in the same proportion.
    """
    rng = random.Random(seed)
    names = [f'e{region}-{number}' for region in range(3) for number in range(12)]
    outages = tuple(
        outage._replace(instances=frozenset(rng.sample(names, 3 * len(outage.instances))))
        for outage in scenario.outages
    )
    return scenario._replace(per_region=12, outages=outages)


@pytest.mark.parametrize('failure_mode', FailureMode)
@pytest.mark.parametrize('seed', range(3))
def test_instances_that_do_not_poll_use_no_endpoint_that_left(
    seed: int, failure_mode: FailureMode
) -> None:
    """Symptom: requests reach an endpoint 2.8 s after its row was removed.

    Most instances don't poll the store and get changes from two that do. An
    instance whose own calls failed stops polling as soon as another is served. It
    then keeps taking removed rows for expired ones, since nothing tells it any more
    that the store is back.
    """
    result = simulate_leaving(with_more_instances(partial_outage(seed, failure_mode), seed))
    assert [one for one in result.stale_uses if one.stale_s > MAX_STALE_S] == []


@pytest.mark.parametrize('failure_mode', FailureMode)
def test_instances_that_do_not_poll_drop_an_endpoint_in_time_after_an_outage(
    failure_mode: FailureMode,
) -> None:
    """The same, with the store down for all instances."""
    for duration_s in (1.0, 5.4):
        result = simulate_leaving(
            with_more_instances(full_outage(3, failure_mode, duration_s=duration_s), 3)
        )
        assert [one for one in result.stale_uses if one.stale_s > MAX_STALE_S] == []


@pytest.mark.parametrize('failure_mode', FailureMode)
def test_instances_that_do_not_poll_keep_endpoints_whose_rows_expired(
    failure_mode: FailureMode,
) -> None:
    """Instances that don't poll see no failed call and learn of the outage from peers."""
    scenario = with_more_instances(full_outage(1, failure_mode, duration_s=8.0), 1)
    rewritten_by = scenario.outages[0].end_s + REREGISTRATION_S
    assert [one for one in simulate_leaving(scenario).false_drops if one.at < rewritten_by] == []


@pytest.mark.parametrize('seed', range(4))
def test_a_larger_fleet_drops_endpoints_in_time_whatever_the_store_does(seed: int) -> None:
    result = simulate_leaving(with_more_instances(overlapping_outages(seed), seed))
    assert [one for one in result.stale_uses if one.stale_s > MAX_STALE_S] == []


def test_few_instances_poll_the_store() -> None:
    """Symptom: calls to the store, each of which costs, grow with the fleet.

    Endpoints leave every two seconds; each change ended a poll of every instance.
    """
    leaves_at = tuple(6.0 + 2.0 * number for number in range(16))
    calls = {
        per_region: simulate_leaving(
            LeavingScenario(
                seed=1,
                outages=(),
                leaves_at=leaves_at,
                per_region=per_region,
                config_interval_s=60.0,
            )
        ).calls
        for per_region in (12, 24)
    }
    # Each instance reads both tables at its start, polls the endpoints once before it
    # knows which instances poll them, and long-polls the declarations. No other calls
    # grow with the fleet.
    each = 3 + 40 / LONG_WAIT_S
    assert calls[24] - calls[12] <= 3 * 12 * each * 1.2


def test_a_large_configuration_delays_no_instance_that_does_not_poll() -> None:
    """Symptom: requests reach an endpoint 4.3 s after it left, and some instances
    don't know routes 7 s after they were declared.

    A configuration of some hundred kilobytes is written. All instances that don't
    poll request it at once from the few that do, over slow links. They time out
    before they have it and request it again, and changes of endpoints queue behind
    it.
    """
    result = simulate_leaving(LARGE_CONFIGURATION)
    assert [one for one in result.stale_uses if one.stale_s > MAX_STALE_S] == []
    assert result.outdated_at_end == []


def test_a_large_configuration_reaches_all_that_do_not_poll_over_slow_links() -> None:
    """Symptom: some instances don't know routes until they are restarted.

    The configuration takes longer to download from the store than the timeout of a
    call without long polling. Each attempt times out, and the next one starts over.
    """
    result = simulate_leaving(LARGE_CONFIGURATION._replace(byte_s=4.8e-6))
    assert result.outdated_at_end == []
