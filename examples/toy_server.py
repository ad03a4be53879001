#!/usr/bin/env python3
"""Simulates the environment of a forwarder: endpoints, discovery, notifications.

Start it, then a forwarder, then submit messages (see examples/README.md):

    python3 examples/toy_server.py --port 8500
    python3 examples/toy_server.py put --to 127.0.0.1:6379 --dest 1 "hello"
"""

import argparse
import base64
import json
import socket
import socketserver
import threading
import uuid
from http.server import BaseHTTPRequestHandler


class Toy(socketserver.ThreadingTCPServer):
    """Records requests in `calls` and `notices`; `answer` determines the replies.

    At revision 0 it has no endpoint list, and forwarders keep the list of their
    configuration.
    """

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 64

    def __init__(self, port=0, members=(), revision=0):
        super().__init__(("127.0.0.1", port), Handler)
        self.changed = threading.Condition()
        self.revision = revision
        self.members = list(members)
        # One entry per message of each call: id, key, body, bundle (size of the call).
        self.calls = []
        self.notices = []
        # Number of notice requests still to be answered with an error.
        self.refused_notices = 0
        # Returns the answer for one message: (status, headers), or bytes that are
        # written unchanged. In a bundle, only status 200 or another matters.
        self.answer = lambda call: (200, {})

    @property
    def address(self):
        return "127.0.0.1:%d" % self.server_address[1]

    def start(self, poll_s=0.5):
        """Serves in a new thread, which checks every `poll_s` whether to stop."""
        arguments = {"poll_interval": poll_s}
        threading.Thread(
            target=self.serve_forever, kwargs=arguments, daemon=True
        ).start()
        return self

    def note(self, into, entry):
        with self.changed:
            into.append(entry)
            self.changed.notify_all()

    def announce(self, members):
        """Replaces the endpoint list and increments its revision."""
        with self.changed:
            self.revision += 1
            self.members = members
            self.changed.notify_all()

    def list_line(self):
        body = {"revision": self.revision, "complete": True, "members": self.members}
        return json.dumps(body) + "\n"

    def handle_error(self, request, client_address):
        pass  # a forwarder may close any connection


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def reply(self, status, headers=(), body=b""):
        self.send_response(status)
        for name, value in dict(headers).items():
            self.send_header(name, str(value))
        if status != 204:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self):
        if self.path.startswith("/api/targets?watch"):
            return self.watch()
        if self.path.startswith("/api/targets"):
            return self.reply(200, body=self.server.list_line().encode())
        self.reply(200 if self.path == "/-/healthy" else 404)

    def chunk(self, text):
        self.wfile.write(b"%x\r\n%s\r\n" % (len(text), text.encode()))
        self.wfile.flush()

    def watch(self):
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        told = int(self.path.split("from=")[1])
        while True:
            with self.server.changed:
                if self.server.revision <= told:
                    self.server.changed.wait(timeout=1)
                news = self.server.list_line() if self.server.revision > told else "\n"
                told = self.server.revision
            self.chunk(news)

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        if self.path == "/v2/finals":
            return self.finals(body)
        if self.path == "/events/bundle":
            return self.bundle(json.loads(body))
        call = {
            "id": self.headers["X-Correlation-Id"],
            "key": self.headers["Idempotency-Key"],
            "body": body,
            "bundle": 1,
        }
        self.server.note(self.server.calls, call)
        answer = self.server.answer(call)
        if isinstance(answer, bytes):
            self.wfile.write(answer)
        else:
            self.reply(*answer)

    def bundle(self, items):
        states = []
        for item in items:
            call = {
                "id": item["id"],
                "key": item.get("key"),
                "body": base64.b64decode(item["body"]),
                "bundle": len(items),
            }
            self.server.note(self.server.calls, call)
            status, _ = self.server.answer(call)
            states.append(
                {"id": item["id"], "state": "ok" if status == 200 else "later"}
            )
        self.reply(200, body=json.dumps(states).encode())

    def finals(self, body):
        if self.server.refused_notices > 0:
            self.server.refused_notices -= 1
            return self.reply(500)
        for line in body.decode().splitlines():
            self.server.note(self.server.notices, json.loads(line))
        self.reply(204)


class Client:
    """A client's connection to a forwarder, speaking RESP2."""

    def __init__(self, address, timeout=20):
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout=timeout)
        self.file = self.socket.makefile("rb")

    def send(self, *words):
        out = b"*%d\r\n" % len(words)
        for word in words:
            data = word if isinstance(word, bytes) else str(word).encode()
            out += b"$%d\r\n%s\r\n" % (len(data), data)
        self.socket.sendall(out)

    def read(self):
        """Returns the line of a reply; empty if the forwarder closed the connection."""
        try:
            return self.file.readline().decode().rstrip("\r\n")
        except ConnectionResetError:
            return ""

    def call(self, *words):
        self.send(*words)
        return self.read()

    def put(
        self,
        dest,
        body,
        left_ms=20000,
        message=None,
        key=None,
        fields="c=plan-event,t=acme",
    ):
        message = message or uuid.uuid4().hex[:16]
        key = key or uuid.uuid4().hex[:16]
        fields += ",d=%d,k=%s,dest=%d" % (left_ms, key, dest)
        return message, self.call("MSG.PUT", "0" * 16, message, fields, body)

    def close(self):
        self.file.close()
        self.socket.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--port", type=int, default=8500)
    commands = parser.add_subparsers(dest="command")
    put = commands.add_parser("put", help="submit one message")
    put.add_argument("--to", default="127.0.0.1:6379")
    put.add_argument("--dest", type=int, default=1)
    put.add_argument("body")
    given = parser.parse_args()
    if given.command == "put":
        print("%s %s" % Client(given.to).put(given.dest, given.body))
        return
    toy = Toy(given.port).start()
    print("endpoints, discovery and notices at", toy.address, flush=True)
    while True:
        with toy.changed:
            toy.changed.wait()
            for what, entries in (("call", toy.calls), ("notice", toy.notices)):
                for entry in entries:
                    print(what, entry, flush=True)
                entries.clear()


if __name__ == "__main__":
    main()
