"""The retry budget of a service: parts of one allowance that instances keep by themselves."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plantainloft_node.retry_budget.budget import RetryAllowance, RetryBudget
from plantainloft_node.retry_budget.registry import RetryBudgets, RetryLimits

NOW = 1000.0
WINDOW_S = 10.0
SERVICE = 'case-desk'
LIMITS = RetryLimits(ratio=0.2, fixed_retries=64.0, window_s=WINDOW_S)
ALLOWANCE = RetryAllowance(ratio=0.2, fixed_retries=64.0, instances=12)
NO_FIXED_RETRIES = ALLOWANCE._replace(fixed_retries=0.0)


def acquire_all(budget: RetryBudget, now: float, *, uptime_s: float) -> int:
    """Take all that is left; return how many retries that are."""
    count = 0
    while budget.try_acquire(now, ALLOWANCE, uptime_s=uptime_s):
        count += 1
    return count


def test_retries_of_all_instances_stay_within_the_allowance() -> None:
    budgets = [RetryBudget(window_s=WINDOW_S) for _ in range(12)]
    retries = 0
    for step in range(1000):
        now = NOW + step / 100
        for budget in budgets:
            budget.record_request(now, ALLOWANCE)
            retries += budget.try_acquire(now, ALLOWANCE, uptime_s=now)
    assert retries <= 0.2 * 12000 + 64


def test_most_of_the_allowance_can_be_used_in_a_steady_failure() -> None:
    """Failure: a third of the callers was refused with half of the allowance unused."""
    budget = RetryBudget(window_s=WINDOW_S)
    retries = 0
    for step in range(1000):
        now = NOW + step / 100
        budget.record_request(now, NO_FIXED_RETRIES)
        if step % 2:
            retries += budget.try_acquire(now, NO_FIXED_RETRIES, uptime_s=now)
    assert 0.8 * 200 <= retries <= 200


def test_a_process_that_starts_sends_nothing_in_advance_before_a_window_has_passed() -> None:
    """Failure: each start of a process gave its part of the fixed retries anew."""
    budget = RetryBudget(window_s=WINDOW_S)
    assert not acquire_all(budget, NOW, uptime_s=0.0)
    assert not acquire_all(budget, NOW + 9.9, uptime_s=9.9)
    assert acquire_all(budget, NOW + 10, uptime_s=10.0) == ALLOWANCE.max_advance


def test_calm_requests_store_no_more_than_the_instance_owns_in_a_window() -> None:
    """Failure: what a calm window had earned was sent at once, before and after a start."""
    budget = RetryBudget(window_s=WINDOW_S)
    for step in range(1000):
        budget.record_request(NOW + step / 100, ALLOWANCE)
    assert acquire_all(budget, NOW + 10, uptime_s=20.0) <= ALLOWANCE.part


def test_retries_in_advance_are_paid_for_by_later_requests() -> None:
    budget = RetryBudget(window_s=WINDOW_S)
    assert acquire_all(budget, NOW, uptime_s=60.0) == ALLOWANCE.max_advance
    for step in range(100):
        budget.record_request(NOW + step / 100, ALLOWANCE)
    assert acquire_all(budget, NOW + 1, uptime_s=61.0) >= ALLOWANCE.max_advance


def test_retries_in_advance_are_free_again_after_a_window() -> None:
    budget = RetryBudget(window_s=WINDOW_S)
    assert acquire_all(budget, NOW, uptime_s=60.0) == ALLOWANCE.max_advance
    assert not acquire_all(budget, NOW + 9.9, uptime_s=69.9)
    assert acquire_all(budget, NOW + 10.1, uptime_s=70.1) == ALLOWANCE.max_advance


@pytest.mark.parametrize('instances', [65, 195, 1000])
def test_more_instances_than_fixed_retries_keep_the_allowance(instances: int) -> None:
    """Failure: one stored retry each is more than all may send."""
    allowance = ALLOWANCE._replace(instances=instances)
    budgets = [RetryBudget(window_s=WINDOW_S) for _ in range(instances)]
    retries = 0
    for step in range(10):
        now = NOW + step
        for budget in budgets:
            budget.record_request(now, allowance)
    for budget in budgets:
        while budget.try_acquire(now, allowance, uptime_s=60.0):
            retries += 1
    assert retries <= 0.2 * 10 * instances + 64


def test_a_retry_that_was_not_sent_is_given_back() -> None:
    budget = RetryBudget(window_s=WINDOW_S)
    for _ in range(ALLOWANCE.max_advance):
        assert budget.try_acquire(NOW, ALLOWANCE, uptime_s=60.0)
    assert not budget.try_acquire(NOW, ALLOWANCE, uptime_s=60.0)
    budget.release(NOW, ALLOWANCE)
    assert budget.try_acquire(NOW, ALLOWANCE, uptime_s=60.0)
    assert budget.retry_count(NOW) == ALLOWANCE.max_advance


def make_budgets(*, instance_count: int, now: float = NOW) -> RetryBudgets:
    budgets = RetryBudgets(limits=LIMITS)
    budgets.update(instance_count=instance_count, now=now)
    return budgets


def usable(budgets: RetryBudgets, now: float) -> int:
    """Return how many retries may be sent at once by a service without requests."""
    count = 0
    while budgets.try_acquire(SERVICE, now):
        count += 1
    return count


def test_no_fixed_retries_while_the_number_of_instances_is_unknown() -> None:
    """Failure: an instance without the list of instances took the part of all."""
    budgets = make_budgets(instance_count=0)
    assert not usable(budgets, NOW + 60)
    budgets.update(instance_count=12, now=NOW + 60)
    assert usable(budgets, NOW + 60) == ALLOWANCE.max_advance


def test_a_shorter_list_of_instances_counts_after_a_window() -> None:
    """Failure: instances took the parts of those that had just ended, which had used them."""
    budgets = make_budgets(instance_count=12)
    budgets.update(instance_count=12, now=NOW + 60)
    budgets.update(instance_count=6, now=NOW + 61)
    assert usable(budgets, NOW + 61) == ALLOWANCE.max_advance
    budgets.update(instance_count=6, now=NOW + 75)
    assert usable(budgets, NOW + 75) == ALLOWANCE._replace(instances=6).max_advance


def test_usage_tells_what_was_sent_and_withheld() -> None:
    budgets = make_budgets(instance_count=12)
    for _ in range(10):
        budgets.record_request(SERVICE, NOW)
    assert budgets.try_acquire(SERVICE, NOW)
    assert not budgets.try_acquire(SERVICE, NOW)
    (usage,) = budgets.usage(NOW)
    assert (usage.requests, usage.retries, usage.remaining) == (10, 1, 0)
    assert (usage.sent, usage.withheld) == (1, 1)


Event = tuple[int, float, str]
EVENTS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.floats(0.0, 1.5),
        st.sampled_from(['request', 'request', 'requests', 'retry', 'retries', 'start']),
    ),
    max_size=150,
)


@settings(max_examples=300, deadline=None)
@given(events=EVENTS, fixed_retries=st.sampled_from([0.0, 3.0, 8.0, 40.0]))
def test_any_order_of_events_keeps_the_allowance_in_every_window(
    events: list[Event], fixed_retries: float
) -> None:
    """Failure: a process that started again in the window sent its part twice."""
    allowance = RetryAllowance(ratio=0.2, fixed_retries=fixed_retries, instances=4)
    budget_by_instance = {number: RetryBudget(window_s=WINDOW_S) for number in range(4)}
    started_at_by_instance = dict.fromkeys(budget_by_instance, 0.0)
    now = 0.0
    requests: list[float] = []
    retries: list[float] = []
    for instance, pause_s, kind in events:
        now += pause_s
        budget = budget_by_instance[instance]
        if kind == 'start':
            budget_by_instance[instance] = RetryBudget(window_s=WINDOW_S)
            started_at_by_instance[instance] = now
        for _ in range(15 if kind in {'requests', 'retries'} else 1):
            if kind.startswith('request'):
                budget.record_request(now, allowance)
                requests.append(now)
            elif kind != 'start' and budget.try_acquire(
                now, allowance, uptime_s=now - started_at_by_instance[instance]
            ):
                retries.append(now)
    # Instances that store more than their part covers are checked by the model.
    covered = max(fixed_retries, 4.0)
    for since in retries:
        until = since + WINDOW_S
        window_requests = sum(since <= at <= until for at in requests)
        window_retries = sum(since <= at <= until for at in retries)
        assert window_retries <= 0.2 * window_requests + covered
