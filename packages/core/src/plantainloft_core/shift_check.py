"""How much of each service's traffic a new configuration would move.

This enforces the shift cap at commit time: a patch is rejected if it removes
so many active slots at once that more of a service's traffic than its cap
would have to change region. At run time, ``traffic_split`` enforces the cap.
"""

from plantainloft_core.model import Configuration

__all__ = ['check_shift', 'displaced_share']

# Load per region is not known at commit time, and reports lag. A patch is
# checked as if this fraction of each region's slots were in use.
ASSUMED_UTILISATION = 0.7
_EPSILON = 1e-9


def _active_slots_by_region(config: Configuration, service: str) -> dict[str, int]:
    by_region: dict[str, int] = {}
    for endpoint in config.endpoints_by_service.get(service, ()):
        if endpoint.state == 'active':
            by_region[endpoint.region] = by_region.get(endpoint.region, 0) + endpoint.slots
    return by_region


def displaced_share(before: Configuration, after: Configuration, service: str) -> float:
    """Return the share (0..1) of traffic of ``service`` that must change region.

    Added slots displace nothing. Removed slots displace only the traffic that
    the region's remaining slots cannot carry.
    """
    old_slots = _active_slots_by_region(before, service)
    new_slots = _active_slots_by_region(after, service)
    busy_by_region = {region: slots * ASSUMED_UTILISATION for region, slots in old_slots.items()}
    displaced = [
        max(0.0, busy - new_slots.get(region, 0)) for region, busy in busy_by_region.items()
    ]
    return sum(displaced) / sum(busy_by_region.values()) if old_slots else 0.0


def check_shift(before: Configuration, after: Configuration) -> tuple[str, ...]:
    """Return a problem for each service that would move by more than its cap.

    A new service moves no traffic. Evacuations are not checked here, because
    nodes carry them out in steps within the cap.
    """
    problems = []
    for name, service in after.services_by_name.items():
        moved = displaced_share(before, after, name)
        if moved > service.shift_cap + _EPSILON:
            problems.append(
                f'services.{name}: would move {moved:.0%} of its traffic between regions at '
                f'once, its shift cap is {service.shift_cap:.0%}; drain in steps'
            )
    return tuple(problems)
