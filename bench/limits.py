"""Cost of organisations' request limits at an instance.

    .venv/bin/python bench/limits.py [ORGANISATIONS]

Prints the time to admit a request, to update the shares and to pack and unpack a
report, and the size of a report in bytes.
"""

import sys
import timeit

from plantainloft_core.organisations import Organisation, RateLimit
from plantainloft_node.limits.limiter import LimitTerms, RequestLimiter
from plantainloft_node.limits.shares import FleetSize
from plantainloft_node.limits.uses import pack_uses, unpack_uses

ORGANISATIONS = 73
CALLS = 2000
FLEET_SIZE = FleetSize(counted=62, reached=62)
US_PER_S = 1e6


def main() -> None:
    """Print the costs per operation."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else ORGANISATIONS
    limiter = RequestLimiter(me='e1', terms=LimitTerms(window_s=5.0, over=0.1, slack=20.0))
    organisations = [
        Organisation(f'o{number}', frozenset(), limit=RateLimit(20.0, 20.0))
        for number in range(count)
    ]
    for turn in range(12):
        for organisation in organisations:
            limiter.admit(organisation, 6.0 + turn / 4)
        limiter.update(limiter.uses(6.0 + turn / 4), FLEET_SIZE, 6.0 + turn / 4)
    uses = limiter.uses(9.0)
    packed = pack_uses(uses)
    operations = {
        'admit': lambda: limiter.admit(organisations[0], 9.0),
        'uses': lambda: limiter.uses(9.0),
        'update': lambda: limiter.update(uses, FLEET_SIZE, 9.0),
        'pack': lambda: pack_uses(uses),
        'unpack': lambda: unpack_uses(packed),
    }
    for name, operation in operations.items():
        seconds = min(timeit.repeat(operation, number=CALLS, repeat=3)) / CALLS
        print(f'{name}: {seconds * US_PER_S:.1f} microseconds')
    print(f'report: {len(packed)} bytes for {len(uses)} organisations')


if __name__ == '__main__':
    main()
