"""Peer connections between two processes in memory."""

import asyncio
from unittest import mock

from ward import test

from cometdoor.host.link_scheduler import LinkScheduler
from cometdoor.wire.call_control import CallRejected, Ping, Pong
from cometdoor.wire.connections import IDLE_TIMEOUT_S, PeerConnections
from cometdoor.wire.consensus import LeaveRequest
from cometdoor.wire.frames import Message
from cometdoor.wire.gossip import IndirectProbe
from cometdoor.wire.peer_connection import PeerConnection, PeerError, PendingCall
from simulation.event_loop import VirtualLoop
from simulation.virtual_transport import Process


class Pair:
    """Connections of process `a`, which calls, and of process `b`, which records what it receives."""

    def __init__(self, bandwidth_mbps: float = 0.0) -> None:
        self.loop = VirtualLoop()
        self.reply: Message = Pong()
        self.received: list[Message] = []
        self.replies: list[object] = []
        self.a, self.b = Process("a", "caller"), Process("b", "called")
        self.link = LinkScheduler(self.loop, bandwidth_mbps, "b")  # of the called machine
        self.caller = PeerConnections(
            self.loop,
            lambda message, connection, call_id: None,
            LinkScheduler(self.loop, bandwidth_mbps, "a"),
        )
        self.called = PeerConnections(self.loop, self._receive, self.link)
        self.loop.run_as(self.a, lambda: self.caller.listen("a", 1))
        self.loop.run_as(self.b, lambda: self.called.listen("b", 1))
        self.wait(0.1)

    def _receive(self, message: Message, connection: PeerConnection, call_id: int) -> None:
        self.received.append(message)
        connection.respond(call_id, self.reply)

    def wait(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def call(self, message: Message, channel: str = "") -> PendingCall:
        calls: list[object] = []
        self.loop.run_as(
            self.a, lambda: calls.append(self.caller.call("b:1", message, self.replies.append, channel))
        )
        assert isinstance(calls[0], PendingCall)
        return calls[0]

    def cancel(self, call: PendingCall) -> bool:
        was_unsent: list[bool] = []
        self.loop.run_as(self.a, lambda: was_unsent.append(call.cancel()))
        return was_unsent[0]


@test("a call cancelled while its connection is being dialled never arrives, and others do")
def _() -> None:
    # Given a peer that is unreachable for a moment
    pair = Pair()
    pair.loop.partitions = {("a", "b"), ("b", "a")}
    cancelled, other = pair.call(LeaveRequest("first")), pair.call(LeaveRequest("second"))
    pair.wait(0.2)
    # When one call is cancelled, and the connection opens after that
    assert pair.cancel(cancelled), "it was never sent"
    pair.loop.partitions = set()
    pair.wait(0.4)
    # Then the peer receives only the other one
    assert pair.received == [LeaveRequest("second")] and len(pair.replies) == 1
    assert not pair.cancel(other), "it was replied to"


@test("a call cancelled after it was sent may have arrived")
def _() -> None:
    pair = Pair()
    pair.call(Ping())
    pair.wait(0.1)
    pair.called.handler = lambda message, connection, call_id: pair.received.append(message)
    call = pair.call(LeaveRequest("late"))
    pair.wait(0.1)
    assert not pair.cancel(call)
    assert pair.received == [LeaveRequest("late")]


@test("an idle connection is closed, and dialled again when it is needed")
def _() -> None:
    pair = Pair()
    pair.call(LeaveRequest("one"))
    pair.wait(1.0)
    assert len(pair.caller._outbound) == 1
    pair.wait(IDLE_TIMEOUT_S + 1.0)
    assert not pair.caller._outbound and not pair.called._inbound
    pair.call(LeaveRequest("two"))
    pair.wait(1.0)
    assert pair.received == [LeaveRequest("one"), LeaveRequest("two")]


@test(
    "a large call that is cancelled while it waits for the link never arrives, nor its cancellation before it"
)
def _() -> None:
    # Given a link that is busy with another large call
    pair = Pair(bandwidth_mbps=3.5)
    pair.call(LeaveRequest("x" * 200_000))
    waiting = pair.call(LeaveRequest("y" * 200_000))
    pair.wait(0.05)
    # When the waiting call is cancelled
    assert pair.cancel(waiting), "none of it was sent"
    pair.wait(2.0)
    # Then only the other one arrives
    assert [type(message) for message in pair.received] == [LeaveRequest]
    assert pair.received == [LeaveRequest("x" * 200_000)]


@test("a large reply that is no longer wanted is not sent")
def _() -> None:
    # Given a peer whose link is busy with the reply to one call while the reply to another waits
    pair = Pair(bandwidth_mbps=3.5)
    pair.reply = LeaveRequest("z" * 200_000)
    pair.call(LeaveRequest("one"))
    second = pair.call(LeaveRequest("two"))
    pair.wait(0.1)
    assert pair.link.queued_bytes > 200_000
    # When the caller cancels the second one
    pair.cancel(second)
    pair.wait(0.1)
    # Then only the first reply is still being sent
    assert pair.link.queued_bytes < 200_000
    pair.wait(2.0)
    assert len(pair.replies) == 1 and pair.link.queued_bytes == 0


@test(
    "a connection that is silent while its peer sends on another one is kept, and is closed if nothing comes"
)
def _() -> None:
    # Given a link that is slower than configured anywhere, and replies that occupy it for two seconds
    pair = Pair()
    pair.reply = LeaveRequest("z" * 10_000)
    pair.loop.link_bytes_per_s = {"b": 30_000.0}
    for index in range(6):
        pair.call(LeaveRequest(str(index)), "bulk")
        pair.wait(0.01)  # each reply is written by itself
    # When the reply to one more call, on another connection, and the answers to its pings wait behind them
    pair.call(LeaveRequest("last"))
    pair.wait(4.0)
    # Then the reply arrives on that connection
    assert pair.replies == [pair.reply] * 7 and pair.caller.statistics.closed == {}
    # And when nothing arrives on any connection for the timeout, the call fails
    pair.call(LeaveRequest("lost"))
    pair.loop.partitions = {("a", "b"), ("b", "a")}
    pair.wait(1.5)
    assert isinstance(pair.replies[-1], PeerError)
    assert set(pair.caller.statistics.closed) == {"keepalive timeout"}


UNENCODABLE = IndirectProbe("\ud800")


# Guards against CONFIG: one message that can't be encoded ended the timer that sent it, and all after it.
@test("a message that can't be encoded is dropped alone: a call fails at once, a reply becomes a rejection")
def _() -> None:
    pair = Pair()
    results: list[object] = []
    pair.loop.run_as(pair.a, lambda: results.append(pair.caller.send("b:1", UNENCODABLE)))
    pair.loop.run_as(
        pair.a, lambda: results.append(pair.caller.call("b:1", UNENCODABLE, pair.replies.append))
    )
    assert results[0] is False and isinstance(results[1], PeerError) and not results[1].may_have_arrived
    pair.reply = UNENCODABLE
    pair.call(LeaveRequest("m1"))
    pair.wait(0.1)
    assert pair.replies == [CallRejected("the reply can't be encoded")]
    pair.reply = Pong()
    pair.call(LeaveRequest("m2"))
    pair.wait(0.1)
    assert pair.replies[1:] == [Pong()] and pair.received == [LeaveRequest("m1"), LeaveRequest("m2")]


# Guards against a defect in the handling of one message that ends all calls of its connection.
@test("a message whose handling raises is rejected alone, and so is a reply; the connection goes on")
def _() -> None:
    pair = Pair()
    other = pair.call(LeaveRequest("m1"))
    pair.wait(0.1)
    with mock.patch.object(pair.called, "handler", side_effect=RuntimeError("planted")):
        pair.call(LeaveRequest("m2"))
        pair.wait(0.1)
    failing_call = pair.call(LeaveRequest("m3"))
    failing_call.on_reply = mock.Mock(side_effect=RuntimeError("planted"))
    last = pair.call(LeaveRequest("m4"))
    pair.wait(0.1)
    assert pair.replies == [Pong(), CallRejected("its handler failed"), Pong()]
    assert last.connection is other.connection and not last.connection.is_closed
