"""Round trips of a bare echo over loopback: what the machine itself costs."""

import multiprocessing
import socket
import time

import hdrh.histogram

_ROUND_TRIPS = 400
_PAUSE_S = 0.005
_MESSAGE = b"x" * 200
_LONGEST_US = 10_000_000
_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_BUFFER_BYTES = 4096


def _echo(listener: socket.socket) -> None:
    connection, _ = listener.accept()
    with connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while data := connection.recv(_BUFFER_BYTES):
            connection.sendall(data)


def round_trip_ms() -> dict[str, float]:
    """Returns percentiles of the round trip to another process, in ms."""
    histogram = hdrh.histogram.HdrHistogram(1, _LONGEST_US, _DIGITS)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        echo = multiprocessing.Process(target=_echo, args=(listener,))
        echo.start()
        with socket.create_connection(listener.getsockname()) as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for _ in range(_ROUND_TRIPS):
                time.sleep(_PAUSE_S)
                began_s = time.monotonic()
                connection.sendall(_MESSAGE)
                connection.recv(_BUFFER_BYTES)
                elapsed_us = (time.monotonic() - began_s) * _US_PER_S
                histogram.record_value(max(1, int(elapsed_us)))
        echo.join()
    return {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile)
        / _US_PER_MS
        for percentile in (50.0, 99.0, 99.9)
    }
