"""Guards against responses that a reset cuts off and that are taken as complete.

A reset that is reported to a send is not reported to the receives after it, which read
what had arrived and then the end of the connection.
"""

import select
import socket
import time
import unittest

from test_exchanges import OK, RESET, ExchangeCase, ScriptedUpstream, make_call
from urllib3.exceptions import HTTPError
from valeweir_gateway.transport.bounded_pools import create_pool_manager
from valeweir_gateway.transport.responses import Data, Head
from valeweir_gateway.upstreams.exchanges import Exchange, Failure, Fault

FINISH = "finish"
BODY = b"x" * 200_000
# What the upstream reads before it responds.
READ_BYTES = 100
HEADS = {
    "close": OK + b"\r\n",
    "length": OK + b"Content-Length: 8\r\n\r\n",
    "chunked": OK + b"Transfer-Encoding: chunked\r\n\r\n",
}
WHOLE = {"close": b"complete", "length": b"complete"}
WHOLE["chunked"] = b"8\r\ncomplete\r\n0\r\n\r\n"


class LateSocket(socket.socket):
    """Sends a part, and the next ones only after the peer has ended the connection."""

    _sent_count = 0

    def send(self, data, flags=0):
        if self._sent_count:
            # After a reset or, if the peer ended its side first, after the reset that
            # the second part causes.
            ended = select.POLLRDHUP if self._sent_count == 1 else select.POLLHUP
            poller = select.poll()
            poller.register(self, ended)
            poller.poll(3000)
        self._sent_count += 1
        return super().send(data[:1000], flags)

    def sendall(self, data, flags=0):
        data = memoryview(data)
        while data:
            data = data[self.send(data, flags) :]


class EarlyUpstream(ScriptedUpstream):
    """Responds before it has read the request, and then ends the connection."""

    def __init__(self, data, end):
        super().__init__([data], read=READ_BYTES, end=end)

    def connect(self):
        sock = super().connect()
        return LateSocket(sock.family, sock.type, sock.proto, fileno=sock.detach())

    def end_connection(self, conn):
        if self.end == FINISH:
            conn.shutdown(socket.SHUT_WR)
            time.sleep(0.1)
        super().end_connection(conn)


class TestUpstreams(ExchangeCase):
    def send_early(self, data, end):
        """Return an exchange after its send, during which the upstream ended it."""
        upstream = EarlyUpstream(data, end)
        self.addCleanup(upstream.stop)
        keep = self.kept.append
        exchange = Exchange(upstream.connect(), self.client, keep, "X-Request-Id")
        self.addCleanup(exchange.close)
        self.assertIsNone(self.run_coroutine(exchange.send(make_call(BODY))))
        return exchange

    def read_early(self, data, end):
        exchange = self.send_early(data, end)
        head = self.run_coroutine(exchange.read())
        if not isinstance(head, Head):
            return head
        body = self.run_coroutine(exchange.read_body())
        return body if isinstance(body, Failure) else body.join()

    def check_broken(self, result):
        self.assertIsInstance(result, Failure)
        self.assertIs(result.fault, Fault.AMBIGUOUS)
        self.assertTrue(result.broke_off)

    def test_reset_marks_no_end(self):
        cases = [
            (n, head + WHOLE[n][:part]) for n, head in HEADS.items() for part in (0, 4)
        ]
        cases.append(("close", HEADS["close"] + WHOLE["close"]))
        cases.append(("no head", OK[:20]))
        for name, data in cases:
            with self.subTest(framing=name, data=data):
                self.check_broken(self.read_early(data, RESET))

    def test_stated_end_before_the_reset_is_complete(self):
        for name in ("length", "chunked"):
            with self.subTest(framing=name):
                body = self.read_early(HEADS[name] + WHOLE[name], RESET)
                self.assertEqual(body, b"complete")

    def test_end_before_the_reset_is_complete(self):
        for name in HEADS:
            with self.subTest(framing=name):
                body = self.read_early(HEADS[name] + WHOLE[name], FINISH)
                self.assertEqual(body, b"complete")

    def test_stream_is_broken_after_its_last_part(self):
        exchange = self.send_early(HEADS["close"] + WHOLE["close"], RESET)
        self.assertIsInstance(self.run_coroutine(exchange.read()), Head)
        self.assertEqual(self.run_coroutine(exchange.read()), Data(b"complete"))
        self.check_broken(self.run_coroutine(exchange.read()))


class TestPools(unittest.TestCase):
    """The calls of the store, of peers and of engines."""

    def call(self, data, end):
        """Return the body of the response to a request that is longer than buffers."""
        upstream = EarlyUpstream(data, end)
        self.addCleanup(upstream.stop)
        host, port = upstream.sock.getsockname()
        pool = create_pool_manager(1 << 20)
        self.addCleanup(pool.clear)
        url = f"http://{host}:{port}/x"
        return pool.request("POST", url, body=bytes(16 << 20), timeout=3.0).data

    def test_reset_marks_no_end(self):
        for data in (HEADS["close"], HEADS["close"] + WHOLE["close"]):
            with self.subTest(data=data), self.assertRaises(HTTPError):
                self.call(data, RESET)

    def test_end_before_the_reset_is_complete(self):
        for name in HEADS:
            with self.subTest(framing=name):
                self.assertEqual(
                    self.call(HEADS[name] + WHOLE[name], FINISH), b"complete"
                )


if __name__ == "__main__":
    unittest.main()
