"""Which requests of a connection are accepted, and after which response it closes."""

from plantainloft_node.engine.connection_state import ConnectionState


def test_an_open_connection_closes_after_no_response() -> None:
    state = ConnectionState()
    number = state.accept()
    assert state.accepts_requests
    assert not state.starts_last_response(number)
    assert not state.closes_after(number)


def test_no_request_is_accepted_behind_a_response_that_closes_the_connection() -> None:
    """Guards against running a request whose response can't be sent any more."""
    state = ConnectionState()
    number = state.accept()
    state.request_close()
    assert state.accepts_requests
    assert state.starts_last_response(number)
    assert not state.accepts_requests
    assert state.closes_after(number)


def test_requests_that_are_accepted_are_answered_before_the_connection_closes() -> None:
    """Guards against closing a connection while pipelined requests run."""
    state = ConnectionState()
    first, second = state.accept(), state.accept()
    state.request_close()
    assert not state.starts_last_response(first)
    assert not state.closes_after(first)
    assert state.starts_last_response(second)


def test_an_idle_connection_that_is_to_close_answers_one_more_request() -> None:
    """Guards against closing without notice a connection that its caller is about to use."""
    state = ConnectionState()
    state.starts_last_response(state.accept())
    state.request_close()
    assert state.accepts_requests
    assert state.starts_last_response(state.accept())


def test_the_last_request_stays_the_last_one() -> None:
    """Guards against a connection that closes twice, or after another request than announced."""
    state = ConnectionState()
    first = state.accept()
    state.close_after_accepted()
    state.request_close()
    state.close_after_accepted()
    assert not state.accepts_requests
    assert state.starts_last_response(first)
    assert state.closes_after(first)
