"""Run a stand-in as a process: ``python -m plantainloft_standins ...``."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Annotated

import anyio
import cappa

from plantainloft_core.serving import serve_until_signal
from plantainloft_standins import endpoint, table
from plantainloft_standins.demo import run_demo

SHUTDOWN_GRACE_S = 5.0
DRAIN_ANNOUNCE_S = 2.0


@dataclass(kw_only=True)
class Table:
    """Run the table service and object store stand-in."""

    bind: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1:7400'

    def __call__(self) -> None:
        app = table.make_app(table.TableService())
        anyio.run(_serve, app, self.bind)


@dataclass(kw_only=True)
class Endpoint:
    """Run one endpoint stand-in."""

    name: Annotated[str, cappa.Arg(long=True)]
    bind: Annotated[str, cappa.Arg(long=True)]
    slots: Annotated[int, cappa.Arg(long=True)] = 4
    queue: Annotated[int, cappa.Arg(long=True)] = 8
    service_ms: Annotated[float, cappa.Arg(long=True)] = 5.0
    cold_s: Annotated[float, cappa.Arg(long=True)] = 0.0
    report_lag_s: Annotated[float, cappa.Arg(long=True)] = 0.5
    fatal_path: Annotated[str, cappa.Arg(long=True)] = ''

    def __call__(self) -> None:
        settings = endpoint.EndpointSettings(
            name=self.name,
            slots=self.slots,
            queue=self.queue,
            service_s=self.service_ms / 1000,
            cold_s=self.cold_s,
            report_lag_s=self.report_lag_s,
            fatal_path=self.fatal_path,
        )
        state = endpoint.EndpointState(settings=settings)

        async def start_draining(_: float) -> None:
            # Announce the stop before closing the listener: otherwise keep-alive
            # connections are cut while requests are being sent, and callers
            # can't tell whether these ran.
            state.drain.begin()
            await anyio.sleep(DRAIN_ANNOUNCE_S)

        anyio.run(_serve, endpoint.make_app(state), self.bind, start_draining)


async def _serve(
    app: object, bind: str, on_stop: Callable[[float], Awaitable[None]] | None = None
) -> None:
    await serve_until_signal(app, bind=bind, grace_s=SHUTDOWN_GRACE_S, on_stop=on_stop)


@dataclass(kw_only=True)
class Demo:
    """Start a deployment on loopback, send traffic and print a report."""

    deployment: Annotated[str, cappa.Arg(long=True, choices=['karaduman', 'spotterline'])] = (
        'karaduman'
    )
    requests: Annotated[int, cappa.Arg(long=True)] = 600
    concurrency: Annotated[int, cappa.Arg(long=True)] = 16

    def __call__(self) -> None:
        logging.getLogger('plantainloft_standins.demo').setLevel(logging.INFO)
        print(
            run_demo(
                self.deployment,
                count=self.requests,
                concurrency=self.concurrency,
            )
        )


@dataclass
class Standins:
    """Stand-ins for the platform's services and endpoints."""

    command: cappa.Subcommands[Table | Endpoint | Demo]


def main() -> None:
    """Parse the command line and run the chosen stand-in."""
    logging.basicConfig(level=logging.WARNING, format='%(message)s')
    cappa.invoke(Standins)


if __name__ == '__main__':
    main()
