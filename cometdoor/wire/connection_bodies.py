"""The bodies on their way on one connection of two processes, in chunks and within the receiver's credit."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import structlog

from cometdoor.host.body_stream import WINDOW_BYTES, BodyConsumer, BodyReceiver, BodySender
from cometdoor.wire.body_streams import BodyAborted, BodyChunk, BodyCredit
from cometdoor.wire.frames import Frame

BodyMessage = BodyChunk | BodyCredit | BodyAborted
log = structlog.get_logger()


def _ignore() -> None:
    pass


class ConnectionBodies:
    """Senders and receivers of bodies, by the id of their call.

    A body belongs to a call of one side or to its reply; calls go one way on a connection, so that an id
    names one body in each direction at most.

    Parameters
    ----------
    write
        Queues a frame; with the flag it never overtakes another one for which the flag was set.
    peer
        The peer, for the log.
    """

    def __init__(self, write: Callable[[Frame, bool], object], peer: str) -> None:
        self._write = write
        self._peer = peer
        self._senders: dict[int, BodySender] = {}
        self._receivers: dict[int, BodyReceiver] = {}

    @property
    def is_sending(self) -> bool:
        """Whether some body was not sent to its end."""
        return bool(self._senders)

    @property
    def is_receiving(self) -> bool:
        """Whether the peer owes the rest of some body."""
        return bool(self._receivers)

    # --- sending ---

    def send_with_call(self, call_id: int, chunks: Iterable[bytes]) -> None:
        """Send the body of a call as the peer grants credit for it, which it does not before it wants it."""
        sender = self._new_sender(call_id, False, 0, _ignore)
        sender.send(chunks, is_last=True)

    def send_with_reply(self, call_id: int, on_sent: Callable[[], None]) -> BodySender:
        """Return the sender of a reply's body; `on_sent` is called once all of it was sent."""
        return self._new_sender(call_id, True, WINDOW_BYTES, on_sent)

    def _new_sender(
        self, call_id: int, is_reply: bool, credit_bytes: int, on_sent: Callable[[], None]
    ) -> BodySender:
        def write(data: bytes, is_last: bool) -> None:
            self._write(Frame(call_id, is_reply, BodyChunk(data, is_last)), True)
            if is_last:
                self._senders.pop(call_id, None)
                on_sent()

        sender = self._senders[call_id] = BodySender(write, credit_bytes)
        return sender

    def abort_reply(self, call_id: int) -> None:
        """Notify the peer that the rest of a reply's body will not come."""
        self.stop_sending(call_id)
        self._write(Frame(call_id, True, BodyAborted()), True)

    def stop_sending(self, call_id: int) -> None:
        """Send nothing more of a body, if it is on its way."""
        sender = self._senders.pop(call_id, None)
        if sender is not None:
            sender.stop()

    # --- receiving ---

    def receive_with_call(self, call_id: int, consumer: BodyConsumer) -> BodyReceiver:
        """Receive the body of a call of the peer, which sends none of it before it is granted credit."""
        receiver = self._new_receiver(call_id, _ignore)
        receiver.start(consumer)
        return receiver

    def receive_with_reply(self, call_id: int, cancel: Callable[[], None]) -> BodyReceiver:
        """Return the receiver of a reply's body; `cancel` notifies the peer that nobody takes it any more."""
        return self._new_receiver(call_id, cancel)

    def _new_receiver(self, call_id: int, cancel: Callable[[], None]) -> BodyReceiver:
        def forget_and_cancel() -> None:
            self._receivers.pop(call_id, None)
            cancel()

        def grant(size: int) -> None:
            self._write(Frame(0, False, BodyCredit(call_id, size)), False)

        receiver = self._receivers[call_id] = BodyReceiver(grant, forget_and_cancel)
        return receiver

    def dispatch(self, call_id: int, message: BodyMessage) -> None:
        """Pass on a message; a failure there ends the body alone, and the connection goes on."""
        try:
            self._dispatch(call_id, message)
        except Exception as error:
            log.error("body handler failed", step="body", peer=self._peer, error=repr(error))
            receiver = self._receivers.pop(call_id, None)
            if receiver is not None:
                receiver.cancel()

    def _dispatch(self, call_id: int, message: BodyMessage) -> None:
        match message:
            case BodyCredit():
                sender = self._senders.get(message.call_id)
                if sender is not None:
                    sender.add_credit(message.size)
            case BodyChunk():
                receiver = self._receivers.get(call_id)
                if receiver is not None:
                    receiver.receive(message.data, message.is_last)
                    if message.is_last:
                        self._receivers.pop(call_id, None)
            case BodyAborted():
                receiver = self._receivers.pop(call_id, None)
                if receiver is not None:
                    receiver.fail()

    # --- the end ---

    def end(self, call_id: int) -> None:
        """Forget the bodies of a call that is over."""
        self.stop_sending(call_id)
        self._receivers.pop(call_id, None)

    def fail_all(self) -> None:
        """Fail the bodies that were being received, and stop the others: the connection is lost."""
        for call_id in list(self._senders):
            self.stop_sending(call_id)
        receivers, self._receivers = self._receivers, {}
        for receiver in receivers.values():
            receiver.fail()
