"""Bodies in chunks: nothing is sent without credit, and all of it arrives once, in order."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cometdoor.host.body_stream import BodyReceiver, BodySender


class Recorder:
    def __init__(self) -> None:
        self.data = b""
        self.ends: list[str] = []

    def on_chunk(self, data: bytes) -> None:
        self.data += data

    def on_end(self) -> None:
        self.ends.append("end")

    def on_failed(self) -> None:
        self.ends.append("failed")


@given(st.lists(st.binary(max_size=20)), st.integers(1, 30), st.lists(st.integers(1, 40)))
def test_a_sender_never_exceeds_its_credit_by_more_than_a_chunk(
    chunks: list[bytes], credit: int, grants: list[int]
) -> None:
    recorder, receiver = Recorder(), BodyReceiver(lambda size: None, lambda: None)
    receiver.start(recorder)
    drained: list[bool] = []
    sender = BodySender(receiver.receive, credit)
    sender.on_drained = lambda: drained.append(True)
    for chunk in chunks:
        sender.send([chunk], is_last=False)
    sender.send([], is_last=True)
    for size in [*grants, 10_000]:
        assert len(recorder.data) < credit + 20
        assert len(recorder.data) + sender.queued_bytes == len(b"".join(chunks))
        sender.add_credit(size)
        credit += size
    assert recorder.data == b"".join(chunks) and recorder.ends == ["end"]
    sender.send([b"late"], is_last=True)
    receiver.fail()
    assert recorder.ends == ["end"] and len(drained) <= 1 + len(grants)


def test_a_receiver_reports_one_end_and_cancels_an_incomplete_body_once() -> None:
    cancelled: list[bool] = []
    for ending in ("fail", "cancel"):
        recorder = Recorder()
        receiver = BodyReceiver(lambda size: None, lambda: cancelled.append(True))
        receiver.start(recorder)
        receiver.receive(b"half", False)
        for _ in range(2):
            receiver.fail() if ending == "fail" else receiver.cancel()
        receiver.receive(b"late", True)
        assert recorder.data == b"half" and recorder.ends == (["failed"] if ending == "fail" else [])
    assert cancelled == [True]
