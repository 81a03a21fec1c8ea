"""Loss of a region's endpoints: traffic moves to other regions only up to the cap."""

import collections
import signal
import time

import httpx
from syrupy.assertion import SnapshotAssertion

from plantainloft_standins.cluster import Cluster

REQUESTS = 60
REQUEST_INTERVAL_S = 0.1
CAP = 0.2
# The cap applies to any time span of this length; the same share may move in the next.
CAP_WINDOW_S = 10.0
ENTRY = 'entry-ankara-a-0'
LOST = ('case-desk-ankara-a-0', 'case-desk-ankara-b-0')


def test_lost_region_moves_within_the_cap_and_refuses_the_rest_at_once(
    tiny_deployment: Cluster, snapshot: SnapshotAssertion
) -> None:
    """Symptom: when a region is lost, all its traffic moves to the cold caches of
    others, or its requests hang until their deadline.

    Both endpoints of one region are killed while its entry instance keeps getting
    requests for six seconds. Guards against failover without a cap, and against
    refusals that are delayed.

    The cap is checked per window: on a busy machine the requests take
    longer than one window, and more may move in the next.
    """
    url = f'{tiny_deployment.entries_by_name[ENTRY]}/v1/forward/case-desk/item'
    for name in LOST:
        tiny_deployment.processes.signal(name, signal.SIGKILL)
        tiny_deployment.processes.by_name[name].wait()
    outcomes: collections.Counter[str] = collections.Counter()
    refusals = []
    served_by_window: collections.Counter[int] = collections.Counter()
    sent_by_window: collections.Counter[int] = collections.Counter()
    started_at = time.monotonic()
    with httpx.Client(timeout=10) as http:
        for _ in range(REQUESTS):
            window = int((time.monotonic() - started_at) / CAP_WINDOW_S)
            answer = http.get(url)
            sent_by_window[window] += 1
            served_by_window[window] += answer.status_code == httpx.codes.OK
            outcomes[answer.headers['x-plantainloft-outcome']] += 1
            if answer.status_code == httpx.codes.SERVICE_UNAVAILABLE:
                refusals.append(answer)
            time.sleep(REQUEST_INTERVAL_S)
    transcript = {
        'outcomes': sorted(outcomes),
        'some_served_elsewhere': outcomes['served'] > 0,
        'moved_within_the_cap': all(
            served_by_window[window] <= CAP * (window + 1) * sent + 1
            for window, sent in sent_by_window.items()
        ),
        'every_refusal_says_not_run': all(not answer.json()['ran'] for answer in refusals),
        'every_refusal_says_when': all(answer.headers['Retry-After'] for answer in refusals),
    }
    assert transcript == snapshot
