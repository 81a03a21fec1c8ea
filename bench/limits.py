"""Cost of organisations' request limits at an instance.

    .venv/bin/python bench/limits.py [ORGANISATIONS]

Prints the time to admit a request, to make a report, to update the shares and to
pack and unpack a report, and the size of a report in bytes.
"""

import sys
import timeit

from plantainloft_core.organisations import Organisation, RateLimit
from plantainloft_node.limits.limiter import LimitSettings, RequestLimiter
from plantainloft_node.limits.organisation_usage import decode_usage, encode_usage
from plantainloft_node.limits.shares import FleetSize

ORGANISATIONS = 73
CALLS = 2000
FLEET_SIZE = FleetSize(known=62, reporting=62)
US_PER_S = 1e6


def main() -> None:
    """Print the costs per operation."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else ORGANISATIONS
    limiter = RequestLimiter(
        instance='e1',
        settings=LimitSettings(window_s=5.0, overshoot_ratio=0.1, overshoot_requests=20.0),
    )
    organisations = [
        Organisation(f'o{number}', frozenset(), limit=RateLimit(20.0, 20.0))
        for number in range(count)
    ]
    for turn in range(12):
        for organisation in organisations:
            limiter.admit(organisation, 6.0 + turn / 4)
        limiter.update_fleet_usage(limiter.usage_report(6.0 + turn / 4), FLEET_SIZE, 6.0 + turn / 4)
    usage = limiter.usage_report(9.0)
    packed = encode_usage(usage)
    operations = {
        'admit': lambda: limiter.admit(organisations[0], 9.0),
        'uses': lambda: limiter.usage_report(9.0),
        'update': lambda: limiter.update_fleet_usage(usage, FLEET_SIZE, 9.0),
        'pack': lambda: encode_usage(usage),
        'unpack': lambda: decode_usage(packed),
    }
    for name, operation in operations.items():
        seconds = min(timeit.repeat(operation, number=CALLS, repeat=3)) / CALLS
        print(f'{name}: {seconds * US_PER_S:.1f} microseconds')
    print(f'report: {len(packed)} bytes for {len(usage)} organisations')


if __name__ == '__main__':
    main()
