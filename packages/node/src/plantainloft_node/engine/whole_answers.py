"""Ask servers for whole answers over kept connections."""

from dataclasses import dataclass

import anyio

from plantainloft_node.engine.attempts import Failed, NotSent
from plantainloft_node.engine.endpoint_link import (
    SEND_ERRORS,
    AnswerHead,
    BrokenAnswerError,
    EndpointLink,
    OutgoingRequest,
    connect,
)
from plantainloft_node.engine.pool import LinkPool

__all__ = ['LinkClient', 'WholeAnswer']


@dataclass(frozen=True, slots=True, kw_only=True)
class WholeAnswer:
    """An answer with all of its body."""

    head: AnswerHead
    body: bytes


class LinkClient:
    """Sends requests to servers by their addresses (``host:port``).

    The caller bounds the time; when it gives up, the connection is closed,
    so that no late answer meets the next request.
    """

    def __init__(self) -> None:
        self._pool = LinkPool()

    async def ask(self, address: str, request: OutgoingRequest) -> WholeAnswer | NotSent | Failed:
        """Return the answer, or whether the request can have arrived."""
        link = await self._pool.take(address, anyio.current_time())
        if link is None:
            try:
                link = await connect(address)
            except OSError as exc:
                return NotSent(reason=type(exc).__name__)
        kept = False
        try:
            answer, kept = await _converse(link, request)
        except SEND_ERRORS as exc:
            return Failed(reason=type(exc).__name__, broke=True)
        except BrokenAnswerError as exc:
            return Failed(reason=exc.reason, broke=True)
        finally:
            if not kept:
                await link.close()
        if kept:
            await self._pool.give(address, link)
        return answer


async def _converse(link: EndpointLink, request: OutgoingRequest) -> tuple[WholeAnswer, bool]:
    """Return the answer, and whether the link may carry another request."""
    await link.send(request)
    head = await link.answer_head()
    pieces = []
    piece = await link.answer_piece()
    while piece:
        pieces.append(piece)
        piece = await link.answer_piece()
    answer = WholeAnswer(head=head, body=b''.join(pieces))
    return answer, link.reusable(head, anyio.current_time())
