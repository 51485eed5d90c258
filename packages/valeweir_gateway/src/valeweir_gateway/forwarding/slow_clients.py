"""Bounds, metrics and log lines of streams to clients that read slowly."""

from ..transport.write_buffers import WriteBuffers


def create_write_buffers(state):
    """Return the `WriteBuffers` of the connections of a gateway's clients."""

    def get_bounds():
        return state.cfg.compute_buffer_bounds(state.inflight, state.body_bytes)

    def on_bound_reached(request_id, bound, size):
        state.metrics.buffer_bounds.labels(bound.value).inc()
        state.log.note(
            "response buffer full",
            id=request_id,
            bound=bound.value,
            buffered_bytes=size,
            total_bytes=state.write_buffers.total,
            **get_bounds()._asdict(),
        )

    def on_abort(request_id, size):
        state.metrics.slow_clients_aborted.inc()
        state.log.note(
            "slow client aborted", failed=True, id=request_id, buffered_bytes=size
        )

    return WriteBuffers(get_bounds, on_bound_reached, on_abort)
