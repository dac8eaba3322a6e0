import pytest

from hawthornbridge.allowance import AllowanceNotice, Reason
from hawthornbridge.evidence import EvidenceRow, RolloutEvidence, Tally, TallyKey
from hawthornbridge.messages import (
    MESSAGE_LIMIT_BYTES,
    AllowanceNotices,
    BaseChunk,
    Codec,
    EntriesRequest,
    Evidence,
    MessageRejectedError,
)

CODEC = Codec("peers-token-00001")
CUT = Evidence(RolloutEvidence("pattern-desk:v2:1", "h1", 9, (), "failing on route lookup"))
ROW = EvidenceRow(TallyKey(0, "lookup", True), Tally(10, 1, 2))


@pytest.mark.parametrize(
    "message",
    [
        CUT,
        AllowanceNotices((AllowanceNotice("u1", 5, 3, 7, Reason.SHED),), False),
        EntriesRequest("h1", "127.0.0.1:1", 4, 0, 0),
        Evidence(RolloutEvidence("r", "h1", 9, (ROW,), None)),
    ],
)
def test_a_message_decodes_to_what_was_encoded(message):
    """Guards against fields that are lost or swapped by the encoding."""
    assert CODEC.decode(CODEC.encode(message)) == message


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"x" * 16,
        Codec("peers-token-00002").encode(CUT),
        CODEC.encode(CUT)[:-1],
        CODEC.encode(CUT)[:-1] + bytes([CODEC.encode(CUT)[-1] ^ 1]),
        CODEC._digest(b"\x92\x63\x01") + b"\x92\x63\x01",
        CODEC._digest(b"\xc1") + b"\xc1",
        b"x" * (MESSAGE_LIMIT_BYTES + 1),
    ],
    ids=["empty", "digest only", "other token", "cut short", "altered", "unknown kind", "no msgpack", "too large"],
)
def test_data_that_is_not_an_authentic_message_is_rejected(data):
    """Guards against accepting unauthorized messages, and against an exception that ends the receiving task."""
    with pytest.raises(MessageRejectedError):
        CODEC.decode(data)


def test_a_message_over_the_limit_is_not_sent():
    """Guards against sending a message that every receiver would reject."""
    with pytest.raises(MessageRejectedError):
        CODEC.encode(BaseChunk("h1", "127.0.0.1:1", 1, 0, 1, b"x" * MESSAGE_LIMIT_BYTES))
