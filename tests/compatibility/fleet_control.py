"""Records the replies of a fleet member's control socket, as bytes.

The members start from copies of the stored fleet folders. Counts and times that differ
from run to run are masked by name.
"""

import re
import socket

import state_folders
from program import LIMIT_SECONDS, wait_until
from transcripts import show

# Numbers that differ from run to run, and the leader that was elected.
MASKED_NUMBERS = (
    b"term|revision|doubt|probes|missed|denials|stale|pauses|named_twice|token"
)
MASKS = (
    (rb'("(?:%s)": "?)\d+' % MASKED_NUMBERS, rb"\1<number>"),
    (rb'("leader": ")\w+', rb"\1<name>"),
    (rb"(the leader was )\w+", rb"\1<name>"),
    (rb"(Content-Length: )\d+", rb"\1<bytes>"),
)

READS = (
    b"GET /fleet/status HTTP/1.1\r\n\r\n",
    b"GET /fleet/members HTTP/1.1\r\n\r\n",
    b"GET /fleet/maintenance HTTP/1.1\r\n\r\n",
    b"GET /fleet/limits HTTP/1.1\r\n\r\n",
    b"GET /fleet/verdicts HTTP/1.1\r\n\r\n",
    b"GET /fleet/nothing HTTP/1.0\r\n\r\n",
    b"GET /nothing HTTP/1.1\r\n\r\n",
    b"PUT /fleet/status HTTP/1.1\r\n\r\n",
    b"\r\n\r\n",
)
COMMANDS = (
    "ask",
    "ask?name=n9",
    "ask?name=n1&urgency=great",
    "ask?name=n1&kind=other",
    "ask?name=n1&token=x",
    "ask?name=" + "n" * 129,
    "ask?name=hall:north",
    "ask?name=n1",
    "ask?name=an%20id&kind=endpoint&urgency=low&token=9",
    "back?name=n2",
    "ended?name=n2",
    "cancel?request=77",
    "cancel?request=x",
    "cancel?request=2&token=4712",
    "hold?on=perhaps",
    "hold?on=no",
    "dance?name=n1",
)


def _mask(reply):
    for pattern, replacement in MASKS:
        reply = re.sub(pattern, replacement, reply)
    return reply


def _exchange(fleet, name, request):
    """Sends a request to a member's control socket. Returns the masked reply."""
    path = fleet.folder / name / "fleet" / "control"
    with socket.socket(socket.AF_UNIX) as client:
        client.settimeout(LIMIT_SECONDS)
        client.connect(str(path))
        client.sendall(request)
        reply = b""
        while part := client.recv(4096):
            reply += part
    head, body = reply.split(b"\r\n\r\n", 1)
    if b"\r\nContent-Length: %d" % len(body) not in head:
        raise AssertionError("the length is not that of the body: %r" % reply)
    return _mask(reply)


def control_replies():
    """Records the reply to each kind of request, valid and invalid."""
    text = ""
    with state_folders.copy_of("fleet") as folder:
        with state_folders.Fleet(folder) as fleet:
            _wait_for_quorum(fleet)
            for request in READS:
                text += show(repr(request), _exchange(fleet, "n0", request))
            for command in COMMANDS:
                request = b"POST /fleet/maintenance/%s HTTP/1.1\r\n\r\n"
                request %= command.encode()
                text += show(repr(request), _exchange(fleet, "n0", request))
    return text


def _wait_for_quorum(fleet):
    """Waits until all members vote and n0 has working links to both others."""
    for name in state_folders.FLEET_NAMES:
        fleet.wait_for(name, "votes=yes", "status")
    fleet.ask_until_done("n0", "maintenance", "hold", "yes")
    wait_until("links", lambda: _working_links(fleet) == 2)


def _working_links(fleet):
    return fleet.ask("n0", "members").count("state=alive  link=whole")


def control_reply_without_quorum():
    """Records the reply to a command without a quorum."""
    request = b"POST /fleet/maintenance/hold?on=no HTTP/1.1\r\n\r\n"
    with state_folders.copy_of("fleet") as folder:
        with state_folders.Fleet(folder, names=("n0",)) as fleet:
            reply = _exchange(fleet, "n0", request)
    return show(repr(request), re.sub(rb"n([12]) \(\w+\)", rb"n\1 (<state>)", reply))
