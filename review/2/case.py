"""Discovery moves while a new process waits for the old one: notices are lost."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins as s  # noqa: E402

SECONDS = 4.0  # each message's time
LATE_NOTICE = 0.300 + 0.050
AFTER_READY = 1.5
CLASS = "plan-event"
CELL = 1


def scenario(record, cleanup):
    # The partner is silent: each message has to end with a notice.
    endpoint = s.Endpoint(record, "partner-1", CELL, lambda call: None)
    cleanup.append(endpoint.stop)
    platform = s.Platform(record, [endpoint.member()])
    cleanup.append(platform.stop)
    before = platform.open_address()
    after = platform.open_address()
    classes = [s.message_class(CLASS, "token", SECONDS)]
    forwarder = s.Forwarder(record, platform.listing(), s.settings(classes))
    cleanup.append(forwarder.stop)

    forwarder.new_admin()
    forwarder.write_config(before.address)
    old = forwarder.start_and_wait()
    wait_for_status(forwarder, 200)
    time.sleep(1.5)  # no SIGHUP comes in a process's first second

    # The replacement: `run` once more, with a new second address and all else the same.
    forwarder.new_admin()
    forwarder.write_config(before.address)
    new = forwarder.start()
    replaced_by = time.monotonic() + 6
    time.sleep(1.5)
    if s.trouble():
        # The new process has not said yes, so SIGHUP goes to the one that is ready.
        forwarder.write_config(after.address)
        forwarder.signal(old, signal.SIGHUP)
        before.stop_accepting()
        time.sleep(1.5)
        before.close_connections()
    while time.monotonic() < replaced_by:
        if s.admin_call(forwarder.admin, "GET", "/status") == 200:
            break
        time.sleep(0.05)
    forwarder.signal(old, signal.SIGTERM)
    killed_at = time.monotonic() + 3.7
    while old.poll() is None and time.monotonic() < killed_at:
        time.sleep(0.01)
    if old.poll() is None:
        forwarder.signal(old, signal.SIGKILL)
    s.wait_until(forwarder.is_ready, 30, "the new process's first +PONG")
    ready = time.monotonic()
    record("ready", pid=new.pid)

    taken = {}
    for number in range(5):
        message = f"{number:016x}"
        client = s.Client(forwarder.listen)
        sent = time.monotonic()
        reply = client.ask(s.put(message, CELL, SECONDS, CLASS, key=f"key{number}"))
        client.close()
        record("client", id=message, reply=reply)
        if reply and reply.startswith("+"):
            taken[message] = sent
        time.sleep(0.2)
    if not taken:
        raise s.CannotRun("no message was taken on")
    time.sleep(SECONDS + 3)
    if new.poll() is not None:
        return [f"the new process has ended with {new.returncode}"]

    broken = []
    for message, sent in sorted(taken.items()):
        due = max(sent + SECONDS + LATE_NOTICE, ready + AFTER_READY)
        if not [at for at, _ in platform.notices.get(message, []) if at <= due]:
            when = "later" if platform.notices.get(message) else "never"
            broken.append(f"{message} was taken on and ended {when}: lost")
    return broken


def wait_for_status(forwarder, status):
    s.wait_until(
        lambda: s.admin_call(forwarder.admin, "GET", "/status") == status,
        6,
        f"status {status} at the second address",
    )


if __name__ == "__main__":
    sys.exit(s.play(pathlib.Path(sys.argv[1]), scenario))
